package org.siskindyke.platform;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests for a divided and an undivided service on loopback, each through two routers, with stand-ins for the
 * store and the backend servers. The build runs it to record the loaded classes in a class-data sharing archive.
 */
final class SelfCheck {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final int ROUNDS = 100;
    private static final int KEY_STEP = 601;
    private static final int OK = 200;
    private static final String SETTINGS = "{\"node_name\":\"n\",\"zone\":\"z\",\"service\":\"s\",\"listen\":{"
            + "\"inbound\":\"127.0.0.1:1\",\"outbound\":\"127.0.0.1:2\",\"ready\":\"127.0.0.1:3\","
            + "\"control\":\"127.0.0.1:4\"},\"platform\":{\"address\":\"127.0.0.1:5\"},\"heartbeat_ms\":100,"
            + "\"bounds\":{\"drain_ms\":2000,\"grace_s\":6,\"hold_max_ms\":10000,\"retry_budget_ratio\":0.2,"
            + "\"budget_extra\":60,\"budget_window_s\":10}}";
    /** Sends the paths under {@code /k/} to the divided service {@code keyed}, and {@code /p/} to {@code plain}. */
    static final String CONFIGURATION = "{\"version\":\"r1\",\"services\":[{\"name\":\"keyed\","
            + "\"max_connections\":20,\"sharded\":true},{\"name\":\"plain\",\"max_connections\":20}],"
            + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
            + "{\"name\":\"k\",\"prefix\":\"/k/\",\"route_type\":\"safe\",\"timeout_ms\":5000,\"aim_ms\":1000,"
            + "\"priority\":1,\"service\":\"keyed\",\"max_attempts\":2},"
            + "{\"name\":\"p\",\"prefix\":\"/p/\",\"route_type\":\"unsafe\",\"timeout_ms\":5000,\"aim_ms\":1000,"
            + "\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}]}]}";

    private SelfCheck() {}

    /**
     * Runs the check.
     *
     * @param out receives one line with the result
     * @return whether 200 requests succeeded within 20 seconds
     */
    static boolean run(PrintStream out) throws InterruptedException {
        SettingsReader.parse(SETTINGS);
        LoopbackCluster cluster = new LoopbackCluster(new PrintStream(PrintStream.nullOutputStream()));
        cluster.configure(CONFIGURATION);
        LoopbackCluster.Instance keyed = cluster.start("keyed", true, "a");
        LoopbackCluster.Instance plain = cluster.start("plain", false, "b");
        int succeeded = 0;
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (succeeded < 2 * ROUNDS && System.nanoTime() < endNanos) {
            int key = succeeded * KEY_STEP % LoopbackCluster.KEY_COUNT;
            succeeded += cluster.request(keyed, "/p/0", key) == OK ? 1 : 0;
            succeeded += cluster.request(plain, "/k/0", key) == OK ? 1 : 0;
        }
        boolean passed = succeeded >= 2 * ROUNDS;
        out.println("self-check " + (passed ? "passed" : "failed") + ": " + succeeded + " requests succeeded");
        return passed;
    }
}
