package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The faults of a soak; usually drawn from a seed.
 *
 * @param steps the faults, sorted by time
 * @param plannedOnly whether all faults are planned work, during which no request may be interrupted
 * @param hidesKeys whether backend servers violate the heartbeat protocol on purpose, which the checks must detect
 */
public record SoakPlan(List<Step> steps, boolean plannedOnly, boolean hidesKeys) {
    private static final long FIRST_FAULT_MILLIS = 1_500;
    private static final long MIN_GAP_MILLIS = 300;
    private static final long MAX_GAP_MILLIS = 1_500;
    private static final long MIN_DURATION_MILLIS = 400;
    private static final long MAX_DURATION_MILLIS = 4_000;
    /** Seeds that are multiples of this number draw planned work only. */
    private static final int PLANNED_SEED_INTERVAL = 4;
    /** The remainder of seeds that draw resets of connections between routers, too. */
    private static final int PEER_RESETS_SEED = 2;
    /** The remainder of seeds with backend servers that stutter, too. */
    private static final int STUTTER_SEED = 1;

    /**
     * A fault.
     *
     * @param atMillis when it begins, in milliseconds after all routers first served all requests
     * @param durationMillis how long it lasts
     * @param fault kind of the fault
     * @param instanceIndex index of the instance that it affects, unless the fault concerns all
     */
    public record Step(long atMillis, long durationMillis, SoakFault fault, int instanceIndex) {}

    /**
     * Draws a plan.
     *
     * @param seed the seed of all draws; multiples of four have planned work only
     * @param instances number of instances
     * @param lengthMillis length of the soak; faults begin within it
     */
    public static SoakPlan draw(long seed, int instances, long lengthMillis) {
        Random random = new Random(seed);
        boolean plannedOnly = Math.floorMod(seed, PLANNED_SEED_INTERVAL) == 0;
        List<SoakFault> kinds = List.of(SoakFault.values()).stream()
                .filter(kind -> kind.isPlanned() || !plannedOnly)
                .filter(kind -> kind != SoakFault.RESET_PEERS && kind != SoakFault.STUTTER)
                .filter(kind -> kind != SoakFault.EVACUATE_DOMAIN)
                .toList();
        List<Step> steps = new ArrayList<>();
        long atMillis = FIRST_FAULT_MILLIS;
        while (atMillis < lengthMillis - MAX_DURATION_MILLIS / 2) {
            SoakFault fault = kinds.get(random.nextInt(kinds.size()));
            long durationMillis = MIN_DURATION_MILLIS + random.nextLong(MAX_DURATION_MILLIS - MIN_DURATION_MILLIS);
            steps.add(new Step(atMillis, fault.durationMillis(durationMillis), fault, random.nextInt(instances)));
            atMillis += MIN_GAP_MILLIS + random.nextLong(MAX_GAP_MILLIS - MIN_GAP_MILLIS);
        }
        if (Math.floorMod(seed, PLANNED_SEED_INTERVAL) == PEER_RESETS_SEED) {
            steps.addAll(drawPeerResets(new Random(~seed), instances, lengthMillis));
        }
        if (plannedOnly) {
            // Routers that are cut off from the store need not obey in time, so that only planned work goes with it.
            SoakFault evacuation = SoakFault.EVACUATE_DOMAIN;
            int instance = new Random(~seed).nextInt(instances);
            steps.add(new Step(FIRST_FAULT_MILLIS, evacuation.durationMillis(0), evacuation, instance));
        }
        SoakPlan plan = new SoakPlan(List.copyOf(steps), plannedOnly, false);
        return Math.floorMod(seed, PLANNED_SEED_INTERVAL) == STUTTER_SEED
                ? plan.withStutter(instances, lengthMillis)
                : plan;
    }

    /** Draws resets beside the other faults, so that these are the same with and without them. */
    private static List<Step> drawPeerResets(Random random, int instances, long lengthMillis) {
        List<Step> resets = new ArrayList<>();
        long atMillis = FIRST_FAULT_MILLIS;
        while (atMillis < lengthMillis) {
            resets.add(new Step(atMillis, 0, SoakFault.RESET_PEERS, random.nextInt(instances)));
            atMillis += MIN_GAP_MILLIS + random.nextLong(MAX_GAP_MILLIS - MIN_GAP_MILLIS);
        }
        return resets;
    }

    /** Returns this plan, unless it has planned work only, with backend servers that stutter most of the time. */
    public SoakPlan withStutter(int instances, long lengthMillis) {
        if (plannedOnly || steps.stream().anyMatch(step -> step.fault() == SoakFault.STUTTER)) {
            return this;
        }
        List<Step> all = new ArrayList<>(steps);
        for (int i = 0; i < instances; i++) {
            all.add(new Step(MIN_GAP_MILLIS, lengthMillis, SoakFault.STUTTER, i));
        }
        return new SoakPlan(List.copyOf(all), plannedOnly, hidesKeys);
    }

    /** Returns this plan with backend servers that violate the heartbeat protocol on purpose. */
    public SoakPlan withHiddenKeys() {
        return new SoakPlan(steps, plannedOnly, true);
    }
}
