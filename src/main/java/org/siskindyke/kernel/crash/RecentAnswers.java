package org.siskindyke.kernel.crash;

/**
 * Remembers which requests a backend server has answered lately: a table of fixed size in which an entry may replace
 * another one. Confined to one thread.
 */
public final class RecentAnswers {
    private static final int ENTRIES = 4_096;
    /** Age of an answer up to which the same request is not suspected of a crash. */
    private static final long RECENT_MILLIS = 10_000;

    private final long[] fingerprints = new long[ENTRIES];
    private final long[] answeredMillis = new long[ENTRIES];

    /** Records an answer to a request. */
    public void onAnswered(RequestFingerprint request, long nowMillis) {
        int index = indexOf(request);
        fingerprints[index] = request.low();
        answeredMillis[index] = nowMillis;
    }

    /** Returns whether an answer to a request is remembered that is recent enough to clear it of a crash. */
    public boolean isRecent(RequestFingerprint request, long nowMillis) {
        int index = indexOf(request);
        return fingerprints[index] == request.low() && answeredMillis[index] >= nowMillis - RECENT_MILLIS;
    }

    private static int indexOf(RequestFingerprint request) {
        return (int) Math.floorMod(request.high(), (long) ENTRIES);
    }
}
