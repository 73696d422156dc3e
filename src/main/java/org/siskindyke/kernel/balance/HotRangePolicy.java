package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.siskindyke.kernel.id.MemberId;

/**
 * Decides which parts of a range of neighbouring keys that suddenly gets many calls move to other targets, and which.
 *
 * <p>A key that moves is not served for about a heartbeat of its old and half a heartbeat of its new target. So a range
 * is split only under an overload that chance doesn't explain, the part that the target can serve itself stays, and the
 * rest moves at once, in contiguous parts that fit the spare capacity of their new targets.
 */
public final class HotRangePolicy {
    /** Most targets to which a split moves keys; each takes three of the 100 entries of a transaction. */
    public static final int MAX_NEW_OWNERS = 16;
    /** Utilisation up to which a target keeps calls of a range that is split. */
    private static final double KEPT_UTILISATION = 0.8;
    /** Utilisations up to which new targets are filled; the first one that has room for everything is used. */
    private static final double[] FILL_UTILISATIONS = {0.6, 0.75, 0.9, 1.1};
    /** Standard deviations by which the arrivals exceed what the target can run; chance reaches 4 almost never. */
    private static final double MIN_DEVIATIONS = 4;
    /** Calls per second from which a slice is hot: three arrivals in the window, since two may come by chance. */
    private static final double MIN_HOT_CALLS_PER_SECOND = 2_500.0 / RecentArrivals.WINDOW_MILLIS;
    /** Slices on each side of a slice whose calls count for it, too. */
    private static final int NEIGHBOURS = 3;
    /** Calls per second of a slice and its neighbours from which it is hot: five arrivals in the window. */
    private static final double MIN_HOT_CALLS_PER_SECOND_AROUND = 4_500.0 / RecentArrivals.WINDOW_MILLIS;
    /** Slices without enough arrivals that may lie within a hot range. */
    private static final int MAX_GAP = 2;
    /** Part of the excess load that hot ranges have to account for, or else a split would not end the overload. */
    private static final double MIN_SHARE_OF_EXCESS = 0.5;
    /** Part of the spare capacity of a target from which it gets another part. */
    private static final double MIN_SPARE_SHARE = 0.3;
    /** Part of the load of a slice for which a target has room if it gets the slice as its only one. */
    private static final double MIN_ROOM_FOR_SLICE = 0.6;

    /**
     * A target to which keys may move.
     *
     * @param member its router
     * @param usage its load
     */
    public record Candidate(MemberId member, TargetUsage usage) {}

    /**
     * Slices to move to a target.
     *
     * @param to its router
     * @param slices indexes of the slices, in runs of adjacent ones
     */
    public record Move(MemberId to, List<Integer> slices) {}

    /**
     * Returns whether more calls arrive than a target can run, by a margin that chance does not explain.
     *
     * @param usage the target's slots and time per call
     * @param recentCallsPerSecond the calls that have arrived within {@link RecentArrivals#WINDOW_MILLIS}
     */
    public boolean isOverloaded(TargetUsage usage, double recentCallsPerSecond) {
        double windowSeconds = RecentArrivals.WINDOW_MILLIS / 1_000.0;
        double runnable = windowSeconds / usage.utilisationPerCall();
        return recentCallsPerSecond * windowSeconds > runnable + MIN_DEVIATIONS * Math.sqrt(Math.max(1, runnable));
    }

    /**
     * Returns whether hot ranges of several slices account for the excess load of a target, so that a split ends it.
     *
     * @param usage the target's slots and time per call
     * @param recent the slices to which calls have arrived within the window, by index
     */
    public boolean isConcentrated(TargetUsage usage, List<SliceLoad> recent) {
        double excess = sum(recent) - keptCallsPerSecond(usage);
        List<SliceLoad> hot = hotRanges(recent).stream().flatMap(List::stream).toList();
        return hot.size() > 1 && excess > 0 && sum(hot) >= MIN_SHARE_OF_EXCESS * excess;
    }

    /**
     * Plans a split.
     *
     * @param usage load of the target that owns the slices
     * @param recent the slices that the target owns and to which calls have arrived, by index
     * @param candidates the targets that may get slices
     * @param maxParts number of parts that may move
     * @return the moves, one for each target; empty if there is no hot range or no room for it
     */
    public List<Move> plan(TargetUsage usage, List<SliceLoad> recent, List<Candidate> candidates, int maxParts) {
        if (!isConcentrated(usage, recent)) {
            return List.of();
        }
        List<List<SliceLoad>> ranges = hotRanges(recent);
        double hot = ranges.stream().mapToDouble(HotRangePolicy::sum).sum();
        double kept = Math.max(0, keptCallsPerSecond(usage) - (sum(recent) - hot));
        List<List<SliceLoad>> moving = withoutKept(ranges, kept);
        Placement best = new Placement(moving, candidates, FILL_UTILISATIONS[0], maxParts);
        for (int i = 1; i < FILL_UTILISATIONS.length && best.unplaced > 0; i++) {
            Placement next = new Placement(moving, candidates, FILL_UTILISATIONS[i], maxParts);
            best = next.unplaced < best.unplaced ? next : best;
        }
        return best.moves();
    }

    private static double keptCallsPerSecond(TargetUsage usage) {
        return KEPT_UTILISATION / usage.utilisationPerCall();
    }

    private static double sum(List<SliceLoad> slices) {
        double sum = 0;
        for (SliceLoad slice : slices) {
            sum += slice.callsPerSecond();
        }
        return sum;
    }

    /** Returns whether a slice is hot, alone or with its neighbours, since a range may have few calls for each. */
    private static boolean isHot(List<SliceLoad> recent, int position) {
        SliceLoad slice = recent.get(position);
        double sum = slice.callsPerSecond();
        for (int i = position - 1; i >= 0 && slice.index() - recent.get(i).index() <= NEIGHBOURS; i--) {
            sum += recent.get(i).callsPerSecond();
        }
        for (int i = position + 1; i < recent.size() && recent.get(i).index() - slice.index() <= NEIGHBOURS; i++) {
            sum += recent.get(i).callsPerSecond();
        }
        return slice.callsPerSecond() >= MIN_HOT_CALLS_PER_SECOND || sum >= MIN_HOT_CALLS_PER_SECOND_AROUND;
    }

    /** Returns the hot slices as ranges that include the slices with fewer arrivals between them. */
    private static List<List<SliceLoad>> hotRanges(List<SliceLoad> recent) {
        List<List<SliceLoad>> ranges = new ArrayList<>();
        List<SliceLoad> sinceHot = new ArrayList<>();
        int lastHot = Integer.MIN_VALUE / 2;
        for (int i = 0; i < recent.size(); i++) {
            SliceLoad slice = recent.get(i);
            if (!isHot(recent, i)) {
                sinceHot.add(slice);
                continue;
            }
            if (slice.index() - lastHot > MAX_GAP + 1) {
                ranges.add(new ArrayList<>());
                sinceHot.clear();
            }
            List<SliceLoad> range = ranges.get(ranges.size() - 1);
            range.addAll(sinceHot);
            range.add(slice);
            sinceHot.clear();
            lastHot = slice.index();
        }
        return ranges;
    }

    /**
     * Returns the ranges without that part of the hottest one which the target can serve itself. Its hottest slice
     * stays in any case, or else a slice that asks for more than any target has would move again and again.
     */
    private static List<List<SliceLoad>> withoutKept(List<List<SliceLoad>> ranges, double keptCallsPerSecond) {
        List<SliceLoad> hottest = ranges.stream()
                .max(Comparator.comparingDouble(HotRangePolicy::sum))
                .orElseThrow();
        int from = 0;
        int to = 0;
        double most = 0;
        for (int i = 0; i < hottest.size(); i++) {
            double sum = 0;
            int j = i;
            while (j < hottest.size() && sum + hottest.get(j).callsPerSecond() <= keptCallsPerSecond) {
                sum += hottest.get(j++).callsPerSecond();
            }
            if (sum > most) {
                most = sum;
                from = i;
                to = j;
            }
        }
        if (to == 0) {
            from = hottest.indexOf(Collections.max(hottest, Comparator.comparingDouble(SliceLoad::callsPerSecond)));
            to = from + 1;
        }
        List<List<SliceLoad>> moving = new ArrayList<>();
        for (List<SliceLoad> range : ranges) {
            if (range == hottest) {
                moving.add(range.subList(0, from));
                moving.add(range.subList(to, range.size()));
            } else {
                moving.add(range);
            }
        }
        return moving;
    }

    /** Fills targets, those with the most room first, with contiguous parts of ranges. */
    private static final class Placement {
        private final Map<MemberId, List<Integer>> slices = new TreeMap<>();
        private double unplaced;

        private Placement(List<List<SliceLoad>> ranges, List<Candidate> candidates, double utilisation, int maxParts) {
            List<Candidate> byRoom = candidates.stream()
                    .sorted(Comparator.comparingDouble((Candidate c) -> room(c, utilisation))
                            .reversed()
                            .thenComparing(Candidate::member))
                    .limit(MAX_NEW_OWNERS)
                    .collect(Collectors.toList());
            int candidate = 0;
            double placed = 0;
            int parts = 0;
            for (List<SliceLoad> range : ranges) {
                int next = 0;
                while (next < range.size() && candidate < byRoom.size() && parts < maxParts) {
                    Candidate target = byRoom.get(candidate);
                    double room = room(target, utilisation);
                    double first = range.get(next).callsPerSecond();
                    if (placed == 0 && room < first * MIN_ROOM_FOR_SLICE) {
                        break;
                    }
                    List<Integer> chosen = new ArrayList<>();
                    while (next < range.size()
                            && (placed == 0 || placed + range.get(next).callsPerSecond() <= room)) {
                        placed += range.get(next).callsPerSecond();
                        chosen.add(range.get(next).index());
                        next++;
                    }
                    if (!chosen.isEmpty()) {
                        slices.computeIfAbsent(target.member(), m -> new ArrayList<>())
                                .addAll(chosen);
                        parts++;
                    }
                    if (next < range.size() || room - placed < room * MIN_SPARE_SHARE) {
                        candidate++;
                        placed = 0;
                    }
                }
                unplaced += sum(range.subList(next, range.size()));
            }
        }

        private static double room(Candidate candidate, double utilisation) {
            TargetUsage usage = candidate.usage();
            return utilisation / usage.utilisationPerCall() - usage.callsPerSecond();
        }

        private List<Move> moves() {
            List<Move> moves = new ArrayList<>();
            slices.forEach((member, indexes) -> moves.add(new Move(member, indexes)));
            return moves;
        }
    }
}
