import java.io.BufferedReader;
import java.io.File;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.GZIPInputStream;

/**
 * Case 2: a deployment whose store holds the rows of earlier restarts. With trouble, some more routers are killed and
 * started again; at the end, in any case, all processes are killed and started again. Exits with 1 if less than a
 * quarter of the requests is served later than recovery_s after that, though a quarter or more was before.
 */
final class RestartCase {
    static final String NET = "127.77.1.";
    static final int PORT = 27_600;
    static final String[] ZONES = {"kalna", "katwa", "memari", "guskara"};
    static final String SERVICE = "stall";
    static final String CONFIG = "{\"version\":\"r1\",\"services\":[{\"name\":\"stall\",\"health_path\":\"/health\","
            + "\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warm_s\":2.0,"
            + "\"grants\":\"heartbeat\"}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"virtual_hosts\":[{\"hostname\":\"shop.example\","
            + "\"paths\":[{\"name\":\"r-list\",\"prefix\":\"/list/\",\"route_type\":\"safe\",\"timeout_ms\":1200,"
            + "\"aim_ms\":400,\"priority\":2,\"service\":\"stall\",\"max_attempts\":2}]}]}";
    private static final int ROUTERS = 12;
    /** Routers that are killed one by one and started again; the others run on until the end. */
    private static final int RESTARTED = 4;

    private static final int RESTARTS_OF_EACH = 14;
    private static final int REQUESTS = 200;

    private RestartCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        File folder = new File(arguments[0]);
        int exit = 2;
        try {
            for (int i = 1; i <= ROUTERS; i++) {
                new ServerSocket(PORT + 1, 1, InetAddress.getByName(NET + i)).close();
            }
            exit = run(folder, trouble);
        } catch (IOException e) {
            System.out.println("the case could not run: " + e);
        }
        // 10 stands for a broken rule, as 1 is also the code of a JVM that could not run.
        System.exit(exit == 1 ? 10 : exit);
    }

    private static int run(File folder, boolean trouble) throws Exception {
        try (Harness harness = new Harness(new File(folder, "record.txt"), NET, PORT)) {
            harness.log("trouble: " + trouble);
            harness.startStore();
            harness.store.load(recordedRows(new File(folder, "rows.txt.gz")));
            harness.store.put("op", "config", CONFIG);
            Process[] routers = new Process[ROUTERS + 1];
            startAll(harness, routers);
            for (int i = 1; i <= ROUTERS; i++) {
                harness.startTarget(i, ZONES[i % ZONES.length], SERVICE, true);
            }
            Thread.sleep(9_000);
            int before = served(harness, "at first");
            if (trouble) {
                restartSome(harness, routers);
                before = Math.min(before, served(harness, "after the single restarts, before the final fault"));
            }
            harness.log("rows in the store: " + harness.store.rowCount("routers") + "; all processes are killed");
            for (int i = 1; i <= ROUTERS; i++) {
                routers[i].destroyForcibly().waitFor();
            }
            Thread.sleep(1_000);
            startAll(harness, routers);
            harness.log("all machines are back");
            Thread.sleep(15_000);
            int after = served(harness, "later than recovery_s");
            boolean broken = before * 4 >= REQUESTS && after * 4 < REQUESTS;
            String verdict = "served before: " + before + " of " + REQUESTS + ", later than recovery_s after the end: "
                    + after + " of " + REQUESTS + ", rows in the store: " + harness.store.rowCount("routers") + ": "
                    + (broken ? "RECOVER broken" : before * 4 < REQUESTS ? "the case could not run" : "held");
            harness.log(verdict);
            System.out.println(verdict);
            return broken ? 1 : before * 4 < REQUESTS ? 2 : 0;
        }
    }

    static List<Store.Row> recordedRows(File file) throws IOException {
        List<Store.Row> rows = new ArrayList<>();
        try (BufferedReader in = new BufferedReader(new InputStreamReader(
                new GZIPInputStream(new FileInputStream(file)), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] fields = line.split(" ");
                rows.add(new Store.Row(fields[1], fields[2], fields[3], Long.parseLong(fields[0])));
            }
        }
        rows.sort((a, b) -> Long.compare(a.version(), b.version()));
        return rows;
    }

    private static void startAll(Harness harness, Process[] routers) throws Exception {
        for (int i = 1; i <= ROUTERS; i++) {
            routers[i] = harness.launchRouter(i, ZONES[i % ZONES.length], SERVICE, line -> {});
        }
        for (int i = 1; i <= ROUTERS; i++) {
            harness.awaitReady(i);
        }
    }

    /**
     * Kills and starts some routers several times, each time after the router has joined or 3 s; ends at the second time
     * that a router has not joined.
     */
    private static void restartSome(Harness harness, Process[] routers) throws Exception {
        CountDownLatch done = new CountDownLatch(RESTARTED);
        for (int router = 1; router <= RESTARTED; router++) {
            int i = router;
            Harness.daemon(() -> {
                try {
                    int notJoined = 0;
                    for (int round = 0; round < RESTARTS_OF_EACH && notJoined < 2; round++) {
                        harness.log("router" + i + " is killed");
                        routers[i].destroyForcibly().waitFor();
                        CountDownLatch joined = new CountDownLatch(1);
                        routers[i] = harness.launchRouter(i, ZONES[i % ZONES.length], SERVICE, line -> {
                            if (line.contains("\"event\":\"joined\"")) {
                                joined.countDown();
                            }
                        });
                        notJoined += joined.await(3, TimeUnit.SECONDS) ? 0 : 1;
                    }
                } catch (IOException | InterruptedException e) {
                    harness.log("restarts ended: " + e);
                }
                done.countDown();
            });
        }
        done.await();
        Thread.sleep(8_000);
    }

    /** Sends requests for 4 s through all routers, and returns how many were answered with 200. */
    private static int served(Harness harness, String when) throws Exception {
        AtomicInteger served = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(REQUESTS);
        for (int n = 0; n < REQUESTS; n++) {
            int router = 1 + n % ROUTERS;
            Harness.daemon(() -> {
                String id = Harness.newId();
                String result;
                try (Harness.Client client = new Harness.Client(harness.host(router), harness.port + 2)) {
                    client.socket.setSoTimeout(2_500);
                    client.send(
                            "GET",
                            "/list/20",
                            "shop.example",
                            Map.of(
                                    "X-Siskindyke-Request-Id", id,
                                    "X-Siskindyke-Timeout-Ms", "2500",
                                    "X-Siskindyke-Shard-Key",
                                            Integer.toString(ThreadLocalRandom.current().nextInt(65_536))),
                            new byte[0]);
                    result = Integer.toString(client.read().status());
                } catch (IOException e) {
                    result = "no answer: " + e.getMessage();
                }
                harness.log("client " + id + " at router" + router + " gets " + result);
                if (result.equals("200")) {
                    served.incrementAndGet();
                }
                done.countDown();
            });
            Thread.sleep(20);
        }
        done.await();
        harness.log("served " + when + ": " + served + " of " + REQUESTS);
        return served.get();
    }
}
