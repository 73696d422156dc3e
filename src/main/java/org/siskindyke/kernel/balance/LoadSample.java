package org.siskindyke.kernel.balance;

import org.siskindyke.kernel.membership.MemberRow;

/**
 * A few targets with what is expected of each now, and the share of the next calls that each should get so that their
 * loads become even. Reused for each choice; confined to one thread.
 *
 * <p>The shares follow M. Dahlin, "Interpreting stale load information" (IEEE Transactions on Parallel and Distributed
 * Systems, 2000): the calls expected within the age of the reports fill the least loaded targets up to a common level.
 * Where reports are much older than a call takes, little is left of the reported loads and the shares approach the
 * targets' speeds; where they are new, nearly all calls go to the least loaded target.
 */
final class LoadSample {
    /** Targets that a choice compares; more of them make loads hardly more even and each choice slower. */
    static final int SIZE = 8;

    /** Smallest age assumed of a report, since calls of other routers are on their way that it does not count. */
    private static final double MIN_AGE_MILLIS = 20;
    /**
     * Age assumed before the first report: so old that the target gets its share by the assumed speed. All routers at
     * once would send their next calls to a target that has just started if it counted as known to be idle.
     */
    private static final double UNKNOWN_AGE_MILLIS = 60_000;
    /** Smallest utilisation assumed of the targets together, so that idle ones share the calls. */
    private static final double MIN_UTILISATION = 0.05;
    /** How fast the slowness of a host returns to its average: it changes many times a second. */
    private static final double SLOWNESS_TIME_CONSTANT_MILLIS = 200;
    /** Largest factor by which the slowness of a host changes the expected duration, up or down. */
    private static final double MAX_SLOWNESS = 4;
    /** Age from which a duration is doubted, so that a target that was slow once is tried again. */
    private static final double DURATION_VALIDITY_MILLIS = 2_000;
    /** Half-life from then on of a duration above the average. */
    private static final double DURATION_HALF_LIFE_MILLIS = 2_000;

    /**
     * Part of its usual arrivals that an overloaded target is assumed to get since its report, as other routers send it
     * fewer. With 1, all routers leave it for too long and the calls move to and fro between the failure domains.
     */
    private static final double ARRIVALS_UNDER_OVERLOAD = 0.9;

    /** Mean durations after which hardly any of the running calls still run; saves the computation. */
    private static final double MAX_SURVIVAL_DURATIONS = 8;

    private static final double PERCENT = 100;

    private final MemberRow[] members = new MemberRow[SIZE];
    private final double[] slots = new double[SIZE];
    private final double[] callMillis = new double[SIZE];
    private final double[] ageMillis = new double[SIZE];
    /** Calls running and waiting at the time of the report. */
    private final double[] reportedCalls = new double[SIZE];
    /** Own calls sent since the report. */
    private final double[] ownCalls = new double[SIZE];
    /** Time between two calls under the target's limit. */
    private final double[] intervalMillis = new double[SIZE];

    /** Calls that are left of those reported, without any that have arrived since. */
    private final double[] remainingCalls = new double[SIZE];
    /** How long, on average, a call that arrived since the report has been or was there: at most its duration. */
    private final double[] fillMillis = new double[SIZE];
    /** Calls per millisecond that the target should get. */
    private final double[] flow = new double[SIZE];

    private final boolean[] reported = new boolean[SIZE];
    private final boolean[] usable = new boolean[SIZE];
    private int size;
    private double utilisation;

    /** Removes all targets. */
    void clear() {
        size = 0;
    }

    /** Returns the number of targets. */
    int size() {
        return size;
    }

    /** Returns the i-th target that was added. */
    MemberRow member(int i) {
        return members[i];
    }

    /** Adds a target; there is room for {@link #SIZE}. */
    void add(MemberRow member, ReportedTargetLoad load, long nowMillis) {
        TargetLoadReport report = load.report();
        ServerLoad server = report.server();
        members[size] = member;
        reported[size] = load.isReported();
        ageMillis[size] = reported[size] ? Math.max(MIN_AGE_MILLIS, load.ageMillis(nowMillis)) : UNKNOWN_AGE_MILLIS;
        callMillis[size] = Math.max(1, report.millisPerCall()) * slownessNow(server, ageMillis[size]);
        intervalMillis[size] = report.intervalMillis();
        slots[size] = Math.max(1, slots(report));
        reportedCalls[size] = Math.max(0, reportedCalls(report));
        ownCalls[size] = load.sentSinceReport();
        size++;
    }

    /** Returns the slots that both the router and the server itself name. */
    private static int slots(TargetLoadReport report) {
        ServerLoad server = report.server();
        return server == null || server.slots() == 0 ? report.slots() : Math.min(report.slots(), server.slots());
    }

    /** Returns the calls running and waiting, as the router and the server itself count them. */
    private static int reportedCalls(TargetLoadReport report) {
        ServerLoad server = report.server();
        return server == null
                ? report.busy() + report.waiting()
                : Math.max(report.busy(), server.running()) + report.waiting() + server.waiting();
    }

    private static double slownessNow(ServerLoad server, double ageMillis) {
        if (server == null) {
            return 1;
        }
        double reported = Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, server.slownessPercent() / PERCENT));
        return 1 + (reported - 1) * Math.exp(-ageMillis / SLOWNESS_TIME_CONSTANT_MILLIS);
    }

    /**
     * Computes the shares after all targets were added. The rate of arrivals at them is what they complete: by Little's
     * law, their busy slots by the duration of a call.
     */
    void fill() {
        assumeUnreported();
        limitDurations();
        double arrivals = 0;
        double knownCapacity = 0;
        double capacity = 0;
        for (int i = 0; i < size; i++) {
            capacity += rate(i);
            knownCapacity += reported[i] ? rate(i) : 0;
            arrivals += reported[i] ? Math.min(reportedCalls[i], slots[i]) / callMillis[i] : 0;
            double survival = survival(ageMillis[i], callMillis[i]);
            remainingCalls[i] = remaining(i, survival) + ownCalls[i];
            fillMillis[i] = callMillis[i] * (1 - survival);
            usable[i] = true;
        }
        utilisation = Math.max(MIN_UTILISATION, knownCapacity == 0 ? 0 : arrivals / knownCapacity);
        fillTo(utilisation * capacity);
    }

    /** Assumes that targets without reports are like the others on average. */
    private void assumeUnreported() {
        int known = 0;
        double slotSum = 0;
        double callMillisSum = 0;
        for (int i = 0; i < size; i++) {
            if (reported[i]) {
                known++;
                slotSum += slots[i];
                callMillisSum += callMillis[i];
            }
        }
        for (int i = 0; i < size && known > 0; i++) {
            if (!reported[i]) {
                slots[i] = slotSum / known;
                callMillis[i] = callMillisSum / known;
            }
        }
    }

    private void limitDurations() {
        double sum = 0;
        for (int i = 0; i < size; i++) {
            sum += callMillis[i];
        }
        double mean = sum / size;
        for (int i = 0; i < size; i++) {
            double outdatedMillis = ageMillis[i] - DURATION_VALIDITY_MILLIS;
            if (outdatedMillis > 0 && callMillis[i] > mean) {
                callMillis[i] =
                        Math.max(mean, callMillis[i] * Math.pow(0.5, outdatedMillis / DURATION_HALF_LIFE_MILLIS));
            }
            // A limit on calls lets the target keep fewer slots busy.
            if (intervalMillis[i] > 0) {
                slots[i] = Math.min(slots[i], callMillis[i] / intervalMillis[i]);
            }
        }
    }

    /** Returns the calls left of those reported: waiting ones start as slots become free, then the rest ends. */
    private double remaining(int i, double survival) {
        double waiting = reportedCalls[i] - slots[i];
        if (waiting <= 0) {
            return reportedCalls[i] * survival;
        }
        double drainMillis = waiting * callMillis[i] / slots[i];
        return ageMillis[i] <= drainMillis
                ? reportedCalls[i] - ageMillis[i] * slots[i] / callMillis[i]
                : slots[i] * survival(ageMillis[i] - drainMillis, callMillis[i]);
    }

    /** Returns the part of the running calls that still run after a time, if their durations vary exponentially. */
    private static double survival(double millis, double meanMillis) {
        return millis >= MAX_SURVIVAL_DURATIONS * meanMillis ? 0 : Math.exp(-millis / meanMillis);
    }

    /** Distributes arrivals so that all targets that get any reach the same number of calls per slot. */
    private void fillTo(double arrivalsPerMilli) {
        double level = 0;
        boolean changed = true;
        while (changed) {
            changed = false;
            double volume = arrivalsPerMilli;
            double width = 0;
            for (int i = 0; i < size; i++) {
                if (usable[i]) {
                    volume += remainingCalls[i] / fillMillis[i];
                    width += slots[i] / fillMillis[i];
                }
            }
            level = volume / width;
            for (int i = 0; i < size; i++) {
                if (usable[i] && remainingCalls[i] >= level * slots[i]) {
                    usable[i] = false;
                    changed = true;
                }
            }
        }
        for (int i = 0; i < size; i++) {
            flow[i] = Math.max(0, level * slots[i] - remainingCalls[i]) / fillMillis[i];
        }
    }

    /** Returns the expected time of a call that is sent to a target now, if it has got its share since the report. */
    double expectedMillis(int i) {
        double calls = Math.max(utilisation * slots[i], callsNow(i)) + ownCalls[i];
        double wait = Math.max(0, calls + 1 - Math.max(1, slots[i])) * callMillis[i] / slots[i];
        return callMillis[i] + wait;
    }

    private double callsNow(int i) {
        double netRate = (1 - ARRIVALS_UNDER_OVERLOAD * Math.min(1, utilisation)) * slots[i] / callMillis[i];
        return reportedCalls[i] <= slots[i] ? 0 : reportedCalls[i] - netRate * ageMillis[i];
    }

    /**
     * Draws one of the targets that are expected to meet an objective, by their shares; -1 if none is.
     *
     * @param remainingMillis time left until the objective, without that for the way
     * @param fraction a number from 0 to below 1 that decides the draw
     */
    int drawInTime(double remainingMillis, double fraction) {
        double flows = 0;
        double rates = 0;
        for (int i = 0; i < size; i++) {
            usable[i] = expectedMillis(i) <= remainingMillis;
            flows += usable[i] ? flow[i] : 0;
            rates += usable[i] ? rate(i) : 0;
        }
        if (rates == 0) {
            return -1;
        }
        return flows > 0 ? draw(flow, flows * fraction) : drawByRate(rates * fraction);
    }

    /** Draws one of all targets by their shares; {@code fraction} as above. */
    int drawAny(double fraction) {
        return drawInTime(Double.POSITIVE_INFINITY, fraction);
    }

    /** Draws among the usable targets where all of them have more calls than their share. */
    private int drawByRate(double point) {
        for (int i = 0; i < size; i++) {
            flow[i] = rate(i);
        }
        return draw(flow, point);
    }

    private int draw(double[] weights, double point) {
        double left = point;
        int last = -1;
        for (int i = 0; i < size; i++) {
            if (usable[i] && weights[i] > 0) {
                last = i;
                left -= weights[i];
                if (left < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    /** Returns the calls per millisecond that a target can end. */
    private double rate(int i) {
        return slots[i] / callMillis[i];
    }
}
