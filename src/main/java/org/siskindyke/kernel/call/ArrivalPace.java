package org.siskindyke.kernel.call;

/**
 * Spaces the calls to one target evenly, below the limit on calls per second that the target names in its responses.
 * There is no burst after a pause. Confined to one thread; all times are on the monotonic clock.
 *
 * <p>A target that is cold is limited by its {@link WarmUpPace} as well; the stricter of the two applies.
 *
 * <p>Before the first call has ended, and after a long silence of a limited target, it is not known whether there is a
 * limit; only a few calls may run then.
 */
public final class ArrivalPace {
    /** Pace of a target that names a lower limit, so that a response can tell when the limit has ended. */
    private static final double MIN_CALLS_PER_SECOND = 0.5;
    /** Calls that may run while it is not known whether there is a limit. */
    private static final int MAX_RUNNING_WHILE_UNKNOWN = 3;
    /** How long that state lasts at most after a call has started, as calls may hang. */
    private static final long MAX_UNKNOWN_MILLIS = 1_500;
    /** Silence after which a limit is no longer known. */
    private static final long SILENCE_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final WarmUpPace warmUp = new WarmUpPace();
    private boolean known;
    private double callsPerSecond = Double.POSITIVE_INFINITY;
    /** When the next call may start. */
    private double nextMillis = Double.NEGATIVE_INFINITY;

    private long lastResponseMillis;
    /** When the first call since the last reset started; {@link Long#MAX_VALUE} for none. */
    private long firstStartMillis = Long.MAX_VALUE;

    /** Returns the pace of the target while it is cold. */
    public WarmUpPace warmUp() {
        return warmUp;
    }

    /** Forgets what is known, since another incarnation of the target has started. */
    public void reset() {
        known = false;
        callsPerSecond = Double.POSITIVE_INFINITY;
        nextMillis = Double.NEGATIVE_INFINITY;
        firstStartMillis = Long.MAX_VALUE;
    }

    /** Records that a response names a limit, which applies until a response names another or none. */
    public void onLimit(double limitPerSecond, long nowMillis) {
        known = true;
        lastResponseMillis = nowMillis;
        callsPerSecond = Math.max(MIN_CALLS_PER_SECOND, limitPerSecond);
    }

    /** Records a response of the target that names no limit. */
    public void onNoLimit() {
        known = true;
        callsPerSecond = Double.POSITIVE_INFINITY;
    }

    /** Records that a call has ended without a response that could name a limit. */
    public void onEnded() {
        known = true;
    }

    /** Returns whether the target has named a limit that applies, or is cold. */
    public boolean isLimited() {
        return hasNamedLimit() || warmUp.isCold();
    }

    private boolean hasNamedLimit() {
        return callsPerSecond < Double.POSITIVE_INFINITY;
    }

    /** Returns the time between two calls, in milliseconds; 0 without a limit. */
    public double intervalMillis() {
        return Math.max(namedIntervalMillis(), warmUp.intervalMillis());
    }

    private double namedIntervalMillis() {
        return MILLIS_PER_SECOND / callsPerSecond;
    }

    /** Returns how long the next call has to wait for its turn, in milliseconds; 0 if it may start now. */
    public long delayMillis(long nowMillis) {
        double namedMillis = hasNamedLimit() ? Math.max(0, nextMillis - nowMillis) : 0;
        return (long) Math.ceil(Math.max(namedMillis, warmUp.delayMillis(nowMillis)));
    }

    /** Returns whether a call may start now, beside those that run; forgets the limit of a silent target. */
    public boolean allows(int running, long nowMillis) {
        if (hasNamedLimit() && nowMillis - lastResponseMillis > SILENCE_MILLIS) {
            reset();
        }
        boolean waitsForResponse =
                !known && running >= MAX_RUNNING_WHILE_UNKNOWN && nowMillis - firstStartMillis <= MAX_UNKNOWN_MILLIS;
        return !waitsForResponse && delayMillis(nowMillis) == 0;
    }

    /** Records that a call starts. */
    public void onStarted(long nowMillis) {
        firstStartMillis = Math.min(firstStartMillis, nowMillis);
        warmUp.onStarted(nowMillis);
        if (hasNamedLimit()) {
            nextMillis = Math.max(nextMillis, nowMillis) + namedIntervalMillis();
        }
    }
}
