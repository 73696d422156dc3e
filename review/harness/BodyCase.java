import java.io.File;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Case 4: clients of one machine send bodies within max_body_bytes at the same time, while other clients send small
 * orders. Exits with 1 if, of the small orders at that machine that are unanswered at their route's timeout_ms, more than
 * half have no answer half a second later.
 */
final class BodyCase {
    private static final int ROUTERS = 3;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int HALF_SECOND = 500;
    private static final String[] ZONES = {"kalna", "katwa", "memari"};
    private static final String CONFIG = "{\"version\":\"r1\",\"services\":[{\"name\":\"orders\",\"health_path\":"
            + "\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\""
            + ":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"virtual_hosts\":[{\"hostname\":\"shop.example\",\"paths\":[{\"name\":\"r-order\",\"prefix\":\"/order/\","
            + "\"route_type\":\"unsafe\",\"timeout_ms\":" + TIMEOUT_MILLIS
            + ",\"aim_ms\":500,\"priority\":1,\"service\":\"orders\",\"max_attempts\":2}]}]}";

    /** Bodies by their number of bytes. */
    private static final Map<Integer, byte[]> BODIES = new ConcurrentHashMap<>();

    private BodyCase() {}

    /** A small order that was sent: how long its answer took; -1 for none before the client gave up or the end. */
    private record Small(int router, long tookMillis, String result) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int bodies = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 24;
        int bytes = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 20_000_000;
        int exit = 2;
        try {
            exit = run(new File(arguments[0]), trouble, bodies, bytes);
        } catch (IOException e) {
            System.out.println("the case could not run: " + e);
        }
        // 10 stands for a broken rule, as 1 is also the code of a JVM that could not run.
        System.exit(exit == 1 ? 10 : exit);
    }

    private static int run(File folder, boolean trouble, int bodies, int bytes) throws Exception {
        try (Harness harness = new Harness(new File(folder, "record.txt"))) {
            harness.log("trouble: " + trouble);
            harness.startStore();
            harness.store.put("op", "config", CONFIG);
            for (int i = 1; i <= ROUTERS; i++) {
                harness.startRouter(i, ZONES[i - 1], "orders");
                harness.startTarget(i, ZONES[i - 1], "orders", false);
            }
            for (int i = 1; i <= ROUTERS; i++) {
                harness.awaitReady(i);
            }
            Thread.sleep(8_000);
            AtomicBoolean end = new AtomicBoolean();
            List<Small> results = new CopyOnWriteArrayList<>();
            for (int i = 1; i <= ROUTERS; i++) {
                int router = i;
                for (int client = 0; client < 6; client++) {
                    Harness.daemon(() -> sendSmall(harness, router, end, results));
                }
            }
            Thread.sleep(4_000);
            if (results.stream().filter(r -> r.result.equals("200")).count() < 50) {
                System.out.println("the case could not run: small orders are not served");
                return 2;
            }
            CountDownLatch done = new CountDownLatch(bodies);
            for (int n = 0; n < bodies; n++) {
                Harness.daemon(() -> {
                    sendOrder(harness, 1, trouble ? bytes : 300);
                    done.countDown();
                });
            }
            done.await(20, TimeUnit.SECONDS);
            Thread.sleep(4_000);
            end.set(true);
            Thread.sleep(6_000);
            long late = results.stream().filter(r -> r.router == 1 && !answeredWithin(r, TIMEOUT_MILLIS)).count();
            long later = results.stream()
                    .filter(r -> r.router == 1 && !answeredWithin(r, TIMEOUT_MILLIS + HALF_SECOND))
                    .count();
            boolean broken = late >= 3 && later * 2 > late;
            String verdict = "small orders at router1: " + results.stream().filter(r -> r.router == 1).count()
                    + ", unanswered at timeout_ms: " + late + ", half a second later: " + later + "; at the others: "
                    + results.stream().filter(r -> r.router != 1).count() + ", unanswered at timeout_ms: "
                    + results.stream().filter(r -> r.router != 1 && !answeredWithin(r, TIMEOUT_MILLIS)).count()
                    + ": " + (broken ? "CONFIG broken" : "held");
            harness.log(verdict);
            System.out.println(verdict);
            return broken ? 1 : 0;
        }
    }

    private static boolean answeredWithin(Small small, long millis) {
        return small.tookMillis >= 0 && small.tookMillis <= millis;
    }

    private static void sendSmall(Harness harness, int router, AtomicBoolean end, List<Small> results) {
        while (!end.get()) {
            long sentMillis = harness.now();
            String result = sendOrder(harness, router, 300);
            long took = result.matches("\\d+") ? harness.now() - sentMillis : -1;
            if (!result.startsWith("no connection")) {
                results.add(new Small(router, took, result));
            }
            Harness.sleep(50);
        }
    }

    private static String sendOrder(Harness harness, int router, int bytes) {
        String id = Harness.newId();
        long sentMillis = harness.now();
        String result;
        boolean connected = false;
        try (Harness.Client client = new Harness.Client(harness.host(router), harness.port + 2)) {
            connected = true;
            client.socket.setSoTimeout(5_000);
            client.send(
                    "POST",
                    "/order/160",
                    "shop.example",
                    Map.of("X-Siskindyke-Request-Id", id, "X-Siskindyke-Timeout-Ms", "3000"),
                    BODIES.computeIfAbsent(bytes, byte[]::new));
            result = Integer.toString(client.read().status());
        } catch (SocketTimeoutException e) {
            result = connected ? "no answer in 5 s" : "no connection";
        } catch (IOException e) {
            result = connected ? "closed: " + e.getMessage() : "no connection: " + e.getMessage();
        }
        harness.log("client " + id + " at router" + router + ", body " + bytes + ", gets " + result + " after "
                + (harness.now() - sentMillis) + " ms; ran " + harness.runs.containsKey(id));
        return result;
    }
}
