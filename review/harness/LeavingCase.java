import java.io.File;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3: a target deregisters and serves on; its last heartbeat before that arrives some seconds late. With trouble, the
 * router beside it is stopped and started again meanwhile.
 * Exits with 1 if requests reach the target later than drain_ms after the acknowledgement, sent on by machines that have
 * been in touch for stable_ms.
 */
final class LeavingCase {
    private static final int ROUTERS = 3;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int STABLE_MILLIS = 3_000;
    private static final int GRACE_MILLIS = 6_000;
    private static final String[] ZONES = {"kalna", "katwa", "memari"};
    private static final String CONFIG = "{\"version\":\"r1\",\"services\":[{\"name\":\"orders\",\"health_path\":"
            + "\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\""
            + ":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"virtual_hosts\":[{\"hostname\":\"shop.example\",\"paths\":[{\"name\":\"r-order\",\"prefix\":\"/order/\","
            + "\"route_type\":\"unsafe\",\"timeout_ms\":1500,\"aim_ms\":500,\"priority\":1,\"service\":\"orders\","
            + "\"max_attempts\":2}]}]}";

    private LeavingCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try {
            exit = run(new File(arguments[0]), trouble);
        } catch (IOException e) {
            System.out.println("the case could not run: " + e);
        }
        // 10 stands for a broken rule, as 1 is also the code of a JVM that could not run.
        System.exit(exit == 1 ? 10 : exit);
    }

    private static int run(File folder, boolean trouble) throws Exception {
        try (Harness harness = new Harness(new File(folder, "record.txt"))) {
            harness.log("trouble: " + trouble);
            harness.startStore();
            harness.store.put("op", "config", CONFIG);
            Process leaving = null;
            Harness.Target target = null;
            for (int i = 1; i <= ROUTERS; i++) {
                Process router = harness.startRouter(i, ZONES[i - 1], "orders");
                Harness.Target started = harness.startTarget(i, ZONES[i - 1], "orders", false);
                leaving = i == 1 ? router : leaving;
                target = i == 1 ? started : target;
            }
            for (int i = 1; i <= ROUTERS; i++) {
                harness.awaitReady(i);
            }
            Thread.sleep(8_000);
            AtomicBoolean end = new AtomicBoolean();
            AtomicInteger lost = new AtomicInteger();
            for (int i = 1; i <= ROUTERS; i++) {
                int router = i;
                for (int client = 0; client < 6; client++) {
                    Harness.daemon(() -> sendOrders(harness, router, end, lost));
                }
            }
            Thread.sleep(3_000);
            String name = target.id;
            boolean served = harness.runs.values().stream()
                    .flatMap(runs -> runs.stream())
                    .anyMatch(run -> run.target().equals(name));
            long acknowledged = target.deregister();
            if (acknowledged < 0 || !served) {
                return 2;
            }
            Thread.sleep(500);
            long calmFrom = harness.now();
            if (!trouble) {
                Thread.sleep(3_500);
            } else {
                harness.log("router1 gets SIGTERM");
                Harness.signal(leaving, "TERM");
                leaving.waitFor(GRACE_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
                harness.startRouter(1, ZONES[0], "orders");
                harness.log("router1 is back");
                calmFrom = harness.now() + STABLE_MILLIS;
            }
            target.deliverLateHeartbeat();
            Thread.sleep(8_000);
            end.set(true);
            target.close();
            harness.log("target " + target.id + " exits");
            Thread.sleep(3_000);
            long from = Math.max(calmFrom, acknowledged + DRAIN_MILLIS);
            String id = target.id;
            long late = harness.runs.values().stream()
                    .flatMap(runs -> runs.stream())
                    .filter(run -> run.target().equals(id) && run.millis() > from)
                    .count();
            String verdict = "requests that reached the target later than drain_ms after it was acknowledged as gone and"
                    + " stable_ms after the restart: " + late + ": " + (late > 0 ? "DRAIN broken" : "held");
            harness.log(verdict);
            System.out.println(verdict);
            return late > 0 ? 1 : 0;
        }
    }

    private static void sendOrders(Harness harness, int router, AtomicBoolean end, AtomicInteger lost) {
        while (!end.get()) {
            String id = Harness.newId();
            String result;
            try (Harness.Client client = new Harness.Client(harness.host(router), harness.port + 2)) {
                client.socket.setSoTimeout(3_000);
                client.send(
                        "POST",
                        "/order/160",
                        "shop.example",
                        Map.of("X-Siskindyke-Request-Id", id, "X-Siskindyke-Timeout-Ms", "3000"),
                        new byte[300]);
                result = Integer.toString(client.read().status());
            } catch (IOException e) {
                result = "no answer: " + e.getMessage();
            }
            harness.log("client " + id + " at router" + router + " gets " + result);
            Harness.sleep(20 + ThreadLocalRandom.current().nextInt(60));
        }
    }
}
