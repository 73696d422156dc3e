package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What happens in a soak, drawn from its seed.
 *
 * @param steps the faults, by time
 * @param plannedOnly whether all of them are planned work, so that no request may be cut
 * @param hidesKeys whether backend servers break the protocol on purpose, which the judge must find
 */
public record SoakPlan(List<Step> steps, boolean plannedOnly, boolean hidesKeys) {
    private static final long FIRST_MILLIS = 1_500;
    private static final long LEAST_GAP_MILLIS = 300;
    private static final long MOST_GAP_MILLIS = 1_500;
    private static final long LEAST_LENGTH_MILLIS = 400;
    private static final long MOST_LENGTH_MILLIS = 4_000;
    /** Each so many-th seed has planned work only. */
    private static final int PLANNED_SEEDS = 4;

    /**
     * A fault.
     *
     * @param atMillis when it begins, counted from when all keys were served first
     * @param forMillis how long it lasts
     * @param fault what it is
     * @param instance index of the instance that it meets
     */
    public record Step(long atMillis, long forMillis, SoakFault fault, int instance) {}

    /**
     * Draws a plan.
     *
     * @param seed the seed; each fourth one has planned work only
     * @param instances number of instances
     * @param lengthMillis time in which faults begin
     */
    public static SoakPlan draw(long seed, int instances, long lengthMillis) {
        Random random = new Random(seed);
        boolean plannedOnly = Math.floorMod(seed, PLANNED_SEEDS) == 0;
        List<SoakFault> kinds = List.of(SoakFault.values()).stream()
                .filter(kind -> kind.isPlanned() || !plannedOnly)
                .toList();
        List<Step> steps = new ArrayList<>();
        long atMillis = FIRST_MILLIS;
        while (atMillis < lengthMillis - MOST_LENGTH_MILLIS / 2) {
            SoakFault fault = kinds.get(random.nextInt(kinds.size()));
            long forMillis = LEAST_LENGTH_MILLIS + random.nextLong(MOST_LENGTH_MILLIS - LEAST_LENGTH_MILLIS);
            steps.add(new Step(atMillis, fault.lengthMillis(forMillis), fault, random.nextInt(instances)));
            atMillis += LEAST_GAP_MILLIS + random.nextLong(MOST_GAP_MILLIS - LEAST_GAP_MILLIS);
        }
        return new SoakPlan(List.copyOf(steps), plannedOnly, false);
    }

    /** Returns the plan with backend servers that break the protocol. */
    public SoakPlan withHiddenKeys() {
        return new SoakPlan(steps, plannedOnly, true);
    }
}
