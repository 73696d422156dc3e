import java.io.File;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Case 5: three routers are started one after the other, three times each; with trouble, each gets SIGHUP a tenth of a
 * second after its start. Exits with 1 if on two machines or more the process ended by itself three times.
 */
final class HupCase {
    private static final String[] ZONES = {"kalna", "katwa", "memari"};
    private static final int STARTS = 3;
    private static final int HUP_AFTER_MILLIS = 100;

    private HupCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Harness harness = new Harness(new File(arguments[0], "record.txt"))) {
            harness.log("trouble: " + trouble);
            harness.startStore();
            for (int i = 1; i <= ZONES.length; i++) {
                // A router that does not come up without a signal says nothing about the signal.
                harness.startRouter(i, ZONES[i - 1], "orders").destroyForcibly().waitFor();
            }
            int machines = 0;
            for (int i = 1; i <= ZONES.length; i++) {
                int ended = 0;
                for (int start = 0; start < STARTS; start++) {
                    ended += endsByItself(harness, i, trouble) ? 1 : 0;
                }
                harness.log("router" + i + " ended by itself " + ended + " times");
                machines += ended >= STARTS ? 1 : 0;
            }
            String verdict = "machines on which the process ended by itself three times: " + machines + " of "
                    + ZONES.length + ": " + (machines >= 2 ? "Fault" : "held");
            harness.log(verdict);
            System.out.println(verdict);
            exit = machines >= 2 ? 1 : 0;
        } catch (IOException e) {
            System.out.println("the case could not run: " + e);
        }
        // 10 stands for a broken rule, as 1 is also the code of a JVM that could not run.
        System.exit(exit == 1 ? 10 : exit);
    }

    private static boolean endsByItself(Harness harness, int i, boolean trouble) throws Exception {
        Process router = harness.launchRouter(i, ZONES[i - 1], "orders", line -> {});
        Thread.sleep(HUP_AFTER_MILLIS);
        if (trouble) {
            harness.log("router" + i + " gets SIGHUP");
            Harness.signal(router, "HUP");
        }
        boolean ended = router.waitFor(3, TimeUnit.SECONDS);
        harness.log("router" + i + (ended ? " has ended with exit code " + router.exitValue() : " runs on"));
        router.destroyForcibly().waitFor();
        return ended;
    }
}
