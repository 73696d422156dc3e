package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Random;

import org.siskindyke.kernel.control.FakeWorld.LeaseParts;

/**
 * Restores the table of a small cluster from a copy, once or twice, while processes restart, and lets the table fall
 * silent before and after it. Fails if two members own a slice at any time, or if a slice has no owner
 * {@link #SERVED_LIMIT_MILLIS} after the last disruption.
 */
final class RestoreHistory {
    /** The time in which all slices have to be served again after the last disruption. */
    static final long SERVED_LIMIT_MILLIS = 15_000;

    private static final List<String> DOMAINS = List.of("kalna", "katwa", "memari");
    private static final long STEP_MILLIS = 10;
    private static final long START_LIMIT_MILLIS = 20_000;
    private static final int MAX_COPY_AGE_MILLIS = 9_000;
    private static final int SLICES = 8;

    private final long seed;
    private final FakeWorld world;
    private final Random random;
    private long lastDisruptionMillis;

    RestoreHistory(long seed) {
        this.seed = seed;
        this.random = new Random(~seed);
        this.world = new FakeWorld(seed, SLICES, true, LeaseParts.REAL);
        world.membersFindPredecessors = true;
        int size = 2 + random.nextInt(5);
        for (int i = 0; i < size; i++) {
            world.start("m" + i, DOMAINS.get(i % DOMAINS.size()));
        }
    }

    /** Runs the history; returns how many milliseconds after the last disruption each slice had an owner again. */
    long run() {
        try {
            if (world.runUntilServed(START_LIMIT_MILLIS) < 0) {
                throw new AssertionError("slices are not served after the start, " + world.describe());
            }
            world.runFor(random.nextInt(3_000));
            changeAfterCopy();
            restoreAmidRestarts();
            runChecked(lastDisruptionMillis - world.nowMillis());
            return endFaults();
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }

    /** Saves the copy, if any, and lets some processes restart after it, so that it holds predecessors only. */
    private void changeAfterCopy() {
        if (random.nextInt(8) > 0) {
            world.table.saveCopy();
        }
        int ageMillis = random.nextInt(MAX_COPY_AGE_MILLIS);
        for (int i = random.nextInt(3); i > 0; i--) {
            restart(random.nextInt(ageMillis + 1), 100 + random.nextInt(1_500));
        }
        runChecked(ageMillis);
    }

    private void restoreAmidRestarts() {
        world.tableFaults.lateWritePercent = random.nextInt(3) * 15;
        world.tableFaults.loseAnswerPercent = random.nextInt(3) * 15;
        world.tableFaults.maxDelayMillis = 10 + random.nextInt(3) * 60;
        int restoreMillis = random.nextInt(1_600);
        silence(0, restoreMillis);
        disruptAfter(restoreMillis, world::restoreTable);
        if (random.nextInt(3) == 0) {
            disruptAfter(restoreMillis + random.nextInt(3_000), world::restoreTable);
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            restart(random.nextInt(restoreMillis + 2_000), 100 + random.nextInt(1_500));
        }
        if (random.nextInt(4) > 0) {
            silence(restoreMillis + random.nextInt(3_000), random.nextInt(4_000));
        }
    }

    private void silence(int delayMillis, int millis) {
        disruptAfter(delayMillis, () -> world.tableFaults.down = true);
        disruptAfter(delayMillis + millis, () -> world.tableFaults.down = false);
    }

    private void restart(int delayMillis, int downMillis) {
        FakeMember member = world.members.get(random.nextInt(world.members.size()));
        disruptAfter(delayMillis, () -> {
            if (!member.isGone()) {
                member.kill();
                disruptAfter(downMillis, member::restart);
            }
        });
    }

    private void disruptAfter(long delayMillis, Runnable action) {
        lastDisruptionMillis = Math.max(lastDisruptionMillis, world.nowMillis() + delayMillis);
        world.schedule(delayMillis, action);
    }

    private void runChecked(long millis) {
        long endMillis = world.nowMillis() + millis;
        while (world.nowMillis() < endMillis) {
            step();
        }
    }

    private void step() {
        world.runFor(STEP_MILLIS);
        world.ledger.tryCall();
        world.checkOneOwner();
    }

    private long endFaults() {
        runChecked(lastDisruptionMillis - world.nowMillis());
        world.tableFaults.down = false;
        world.tableFaults.lateWritePercent = 0;
        world.tableFaults.loseAnswerPercent = 0;
        world.tableFaults.maxDelayMillis = 10;
        long startMillis = world.nowMillis();
        while (world.unservedSlices() > 0) {
            if (world.nowMillis() - startMillis > SERVED_LIMIT_MILLIS) {
                throw new AssertionError("slices are not served again, " + world.describe());
            }
            step();
        }
        long servedMillis = world.nowMillis() - startMillis;
        runChecked(3_000);
        return servedMillis;
    }
}
