import java.io.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Records the rows that routers leave in the store over many restarts. */
final class Age {
    public static void main(String[] a) throws Exception {
        int routers = Integer.parseInt(a[1]);
        int rows = Integer.parseInt(a[2]);
        try (Harness h = new Harness(new File(a[0] + ".log"), RestartCase.NET, RestartCase.PORT)) {
            h.startStore();
            Process[] running = new Process[routers + 1];
            h.store.put("op", "config", RestartCase.CONFIG);
            for (int i = 1; i <= routers; i++) running[i] = h.launchRouter(i, RestartCase.ZONES[i % 4], "stall", l -> {});
            for (int i = 1; i <= routers; i++) { h.awaitReady(i); h.startTarget(i, RestartCase.ZONES[i % 4], "stall", true); }
            Thread.sleep(7000);
            CountDownLatch done = new CountDownLatch(routers);
            for (int i = 1; i <= routers; i++) {
                int inst = i;
                Harness.daemon(() -> {
                    try {
                        while (h.store.rowCount("routers") < rows) {
                            running[inst].destroyForcibly().waitFor();
                            CountDownLatch seen = new CountDownLatch(1);
                            running[inst] = h.launchRouter(inst, RestartCase.ZONES[inst % 4], "stall", l -> { if (l.contains("\"joined\"")) seen.countDown(); });
                            if (!seen.await(10, TimeUnit.SECONDS)) System.out.println(h.now() + " router " + inst + " not joined in 10 s");
                        }
                    } catch (Exception e) { e.printStackTrace(); }
                    done.countDown();
                });
            }
            done.await();
            Thread.sleep(5000);
            System.out.println(h.now() + " rows " + h.store.rowCount("routers"));
            try (PrintWriter out = new PrintWriter(a[0], StandardCharsets.UTF_8)) {
                for (String table : List.of("routers", "routers-own")) {
                    h.store.rows(table).stream().sorted(Comparator.comparingLong(Store.Row::version)).forEach(r -> out.println(r.version() + " " + r.table() + " " + r.key() + " " + r.value()));
                }
            }
        }
    }
}
