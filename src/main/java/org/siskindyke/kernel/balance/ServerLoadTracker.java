package org.siskindyke.kernel.balance;

/**
 * The load that a backend server announces in its responses, as its router reports it to others. Confined to one
 * thread; times are on the monotonic clock.
 */
public final class ServerLoadTracker {
    /** Weight of an announced slowness in the average: that of a call's duration in the average duration. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Age from which an announcement is not reported; it has changed many times by then. */
    private static final long VALIDITY_MILLIS = 1_000;

    private static final int PERCENT = 100;

    private Announcement latest;
    private long latestMillis;
    private double averagePercent;

    /**
     * What a server announces.
     *
     * @param running requests that it runs
     * @param waiting requests that wait in it
     * @param slots requests that it runs concurrently
     * @param workPercent how long work takes on its host, in percent of the usual; NaN if it does not say so
     */
    public record Announcement(int running, int waiting, int slots, double workPercent) {}

    /** Records the announcement in a response. */
    public void onAnnounced(Announcement announcement, long nowMillis) {
        latest = announcement;
        latestMillis = nowMillis;
        double percent = announcement.workPercent();
        if (percent > 0) {
            averagePercent += averagePercent == 0 ? percent : SAMPLE_WEIGHT * (percent - averagePercent);
        }
    }

    /** Forgets all announcements, since another incarnation of the server has started. */
    public void reset() {
        latest = null;
        averagePercent = 0;
    }

    /** Returns the load to report; null where the server has announced none within the last second. */
    public ServerLoad report(long nowMillis) {
        if (latest == null || nowMillis - latestMillis >= VALIDITY_MILLIS) {
            return null;
        }
        boolean known = latest.workPercent() > 0 && averagePercent > 0;
        int slownessPercent = known ? (int) Math.round(PERCENT * latest.workPercent() / averagePercent) : PERCENT;
        return new ServerLoad(latest.running(), latest.waiting(), latest.slots(), slownessPercent);
    }
}
