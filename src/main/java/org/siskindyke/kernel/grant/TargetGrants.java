package org.siskindyke.kernel.grant;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

import com.google.common.base.Suppliers;
import org.siskindyke.kernel.grant.GrantReply.GrantedRange;
import org.siskindyke.kernel.grant.TargetHeartbeat.ActiveRange;
import org.siskindyke.kernel.grant.TargetHeartbeat.ReleasedRange;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceRuns;

/**
 * Decides which slices the backend server beside this router is granted, in reply to its heartbeats. Confined to the
 * control thread.
 *
 * <p>A grant never outlasts the router's own lease, so a new owner of the slices needs to wait only for that lease. A
 * fencing token consists of the slice's generation, which grows with each change of owner in the table, and, in the low
 * bits, the number of earlier incarnations of the backend server that this router has seen. Times are in milliseconds
 * on this router's monotonic clock, except start times, which are Unix times.
 */
public final class TargetGrants {
    /** Number of low bits of a token that count incarnations of the backend server; the others are the generation. */
    private static final int INCARNATION_BITS = 10;
    /** Fraction of the remaining lease that a grant may last, so that it ends in time if clocks differ by 2%. */
    private static final double MAX_LEASE_FRACTION = 0.96;
    /** Factor by which a grant may last longer on this router's clock, since the backend server's clock may be slow. */
    private static final double SLOW_CLOCK_FACTOR = 1.03;
    /**
     * Number of ranges that may carry handover data, so that an acknowledgement with all ranges fits into 4 KiB; the
     * platform ignores longer ones.
     */
    private static final int MAX_RANGES_WITH_HANDOVER = 40;
    /**
     * Number of ranges of an acknowledgement, so that it fits into 4 KiB. Splits stay far below it, see {@link
     * org.siskindyke.kernel.balance.HotRangePolicy}.
     */
    private static final int MAX_RANGES = 128;

    private final int sliceCount;
    private final long maxGrantMillis;
    private final Map<Integer, Long> tokens = new HashMap<>();
    /** Runs whose slices all have one token, by the index of the first slice. */
    private final Map<Integer, UniformRun> uniformRuns = new HashMap<>();

    private final Map<Integer, Long> generations = new HashMap<>();
    private final Map<Integer, Revocation> revocations = new HashMap<>();
    private final Map<Integer, String> handovers = new HashMap<>();
    private TargetName target;
    private long startMillis = Long.MIN_VALUE;
    private long sequence;
    private long incarnation;
    private long grantEndMillis;
    private BitSet grantedSlices = new BitSet();

    /**
     * Creates the grants of one service. Until the maximum duration of a grant has passed, the backend server may have
     * a grant from before a restart of this router.
     *
     * @param sliceCount number of slices of the service
     * @param maxGrantMillis maximum duration of a grant
     * @param nowMillis the current time
     */
    public TargetGrants(int sliceCount, long maxGrantMillis, long nowMillis) {
        this.sliceCount = sliceCount;
        this.maxGrantMillis = maxGrantMillis;
        this.grantEndMillis = nowMillis + (long) (maxGrantMillis * SLOW_CLOCK_FACTOR);
    }

    private record UniformRun(OwnedSlice run, long token) {}

    /** A slice that is being revoked. */
    private static final class Revocation {
        private final RevocationGroup group;
        private long omittedAtSequence = Long.MAX_VALUE;
        private boolean released;

        private Revocation(RevocationGroup group) {
            this.group = group;
        }
    }

    /** Slices that are revoked together. */
    private static final class RevocationGroup {
        private final Runnable whenReleased;
        private int remaining;

        private RevocationGroup(int remaining, Runnable whenReleased) {
            this.remaining = remaining;
            this.whenReleased = whenReleased;
        }
    }

    /**
     * Returns whether a heartbeat is newer than the last one: from a later incarnation, or with the same start time and
     * a higher sequence number or another name.
     *
     * @param heartbeat the heartbeat
     */
    public boolean isCurrent(TargetHeartbeat heartbeat) {
        if (heartbeat.startMillis() != startMillis) {
            return heartbeat.startMillis() > startMillis;
        }
        return heartbeat.sequence() > sequence || !heartbeat.target().equals(target);
    }

    /**
     * Returns whether a heartbeat is from the known incarnation or from one that can have started by now.
     *
     * @param heartbeat the heartbeat
     * @param latestStartMillis the latest start time that a clock of the fleet can show now, as Unix time
     */
    public boolean isPlausible(TargetHeartbeat heartbeat, long latestStartMillis) {
        return heartbeat.startMillis() == startMillis || heartbeat.startMillis() <= latestStartMillis;
    }

    /**
     * Processes a current heartbeat and returns the reply.
     *
     * @param heartbeat the heartbeat
     * @param owned the slices that this router owns
     * @param leaseEndMillis end of the router's lease
     * @param nowMillis the current time
     * @return the grant; {@link GrantReply#NO_RENEWAL} if the lease leaves no time for one
     */
    public GrantReply onHeartbeat(
            TargetHeartbeat heartbeat, List<OwnedSlice> owned, long leaseEndMillis, long nowMillis) {
        if (heartbeat.startMillis() != startMillis) {
            startIncarnation(heartbeat);
        }
        sequence = heartbeat.sequence();
        recordReleased(heartbeat);
        long grantMillis = grantMillis(leaseEndMillis, nowMillis);
        if (grantMillis <= 0) {
            return GrantReply.NO_RENEWAL;
        }
        List<GrantedRange> ranges = ranges(heartbeat, owned);
        grantEndMillis = Math.max(grantEndMillis, nowMillis + (long) (grantMillis * SLOW_CLOCK_FACTOR));
        return new GrantReply(true, ranges, grantMillis);
    }

    private long grantMillis(long leaseEndMillis, long nowMillis) {
        if (leaseEndMillis <= nowMillis) {
            return 0;
        }
        return Math.min(maxGrantMillis, (long) ((leaseEndMillis - nowMillis) * MAX_LEASE_FRACTION));
    }

    private void startIncarnation(TargetHeartbeat heartbeat) {
        if (target != null) {
            incarnation++;
            onTargetStopped();
        }
        target = heartbeat.target();
        startMillis = heartbeat.startMillis();
        tokens.clear();
        uniformRuns.clear();
    }

    /** Records that the backend server's process has ended, which ends its grant and releases all revoked slices. */
    public void onTargetStopped() {
        grantEndMillis = Long.MIN_VALUE;
        grantedSlices = new BitSet();
        releaseAll();
    }

    /** Releases all revoked slices once the last grant has expired. */
    public void tick(long nowMillis) {
        if (nowMillis >= grantEndMillis) {
            grantedSlices = new BitSet();
            releaseAll();
        }
    }

    /**
     * Revokes slices: they are omitted from the next reply.
     *
     * @param indexes the slices
     * @param nowMillis the current time
     * @param whenReleased runs once the backend server has released all of them or its grant has ended; runs inside
     *     this method if the grant has already ended, otherwise inside a later call of this object
     */
    public void revoke(Collection<Integer> indexes, long nowMillis, Runnable whenReleased) {
        RevocationGroup group = new RevocationGroup(indexes.size(), whenReleased);
        indexes.forEach(index -> revocations.put(index, new Revocation(group)));
        tick(nowMillis);
    }

    /** Cancels revocations; slices that this router still owns are granted again with the next reply. */
    public void cancelRevocations(Collection<Integer> indexes) {
        indexes.forEach(revocations::remove);
    }

    /** Returns the handover data that the backend server sent when it released a slice; null if none is known. */
    public String handover(int index) {
        return handovers.get(index);
    }

    /**
     * Returns the indexes of the slices that the last renewal granted; none once the grant has expired or the backend
     * server has stopped. A slice that is being revoked is not among them once a renewal has omitted it, although the
     * backend server may still process its calls.
     */
    public BitSet grantedSlices() {
        return (BitSet) grantedSlices.clone();
    }

    /**
     * Returns when all that was granted has certainly expired; after a restart of the backend server, {@code
     * Long.MIN_VALUE} until the next grant.
     */
    public long grantEndMillis() {
        return grantEndMillis;
    }

    private void recordReleased(TargetHeartbeat heartbeat) {
        recordHandovers(heartbeat.releasedRanges());
        if (revocations.isEmpty()) {
            return;
        }
        BitSet active = activeSlices(heartbeat.activeRanges());
        List<Integer> released = new ArrayList<>();
        revocations.forEach((index, revocation) -> {
            boolean isAfterOmission = heartbeat.sequence() > revocation.omittedAtSequence;
            if (isAfterOmission && !revocation.released && !active.get(index)) {
                released.add(index);
            }
        });
        released.forEach(index -> release(revocations.get(index)));
    }

    /**
     * Records the handover data of slices that were released as a whole; of ranges that overlap, the last one counts.
     * Looks at each slice once, however many ranges contain it.
     */
    private void recordHandovers(List<ReleasedRange> ranges) {
        BitSet recorded = new BitSet();
        for (int i = ranges.size() - 1; i >= 0; i--) {
            ReleasedRange range = ranges.get(i);
            forEachOtherSlice(range.first(), range.last(), recorded, index -> handovers.put(index, range.handover()));
        }
    }

    /**
     * Calls an action for each slice that a range of keys contains whole and that is not in a set, and adds it there.
     */
    private void forEachOtherSlice(int firstKey, int lastKey, BitSet seen, IntConsumer action) {
        int last = KeyRange.sliceOf(lastKey, sliceCount);
        int index = seen.nextClearBit(KeyRange.sliceOf(firstKey, sliceCount));
        while (index <= last) {
            // Only the first and the last slice of a range may be contained in part.
            if (KeyRange.ofSlice(index, sliceCount).isWithin(firstKey, lastKey)) {
                seen.set(index);
                action.accept(index);
            }
            index = seen.nextClearBit(index + 1);
        }
    }

    /** Returns the slices of which the backend server has keys or processes calls. */
    private BitSet activeSlices(List<ActiveRange> ranges) {
        BitSet active = new BitSet(sliceCount);
        for (ActiveRange range : ranges) {
            active.set(KeyRange.sliceOf(range.first(), sliceCount), KeyRange.sliceOf(range.last(), sliceCount) + 1);
        }
        return active;
    }

    private void releaseAll() {
        for (Iterator<Revocation> i = List.copyOf(revocations.values()).iterator(); i.hasNext(); ) {
            release(i.next());
        }
    }

    private static void release(Revocation revocation) {
        if (revocation.released) {
            return;
        }
        revocation.released = true;
        revocation.group.remaining--;
        if (revocation.group.remaining == 0) {
            revocation.group.whenReleased.run();
        }
    }

    private List<GrantedRange> ranges(TargetHeartbeat heartbeat, List<OwnedSlice> owned) {
        List<GrantedRange> ranges = new ArrayList<>();
        BitSet next = new BitSet();
        BitSet ownedIndexes = SliceRuns.bits(owned);
        Supplier<long[]> activeTokens = Suppliers.memoize(() -> activeTokens(heartbeat.activeRanges()));
        for (OwnedSlice run : owned) {
            KeyRange runKeys = new KeyRange(
                    KeyRange.ofSlice(run.index(), sliceCount).first(),
                    KeyRange.ofSlice(run.end() - 1, sliceCount).last());
            long activeTokenOfRun = activeToken(runKeys, heartbeat);
            if (isUnchanged(run, activeTokenOfRun)) {
                next.set(run.index(), run.end());
                append(ranges, runKeys, activeTokenOfRun, null, false);
                continue;
            }
            for (int index = run.index(); index < run.end(); index++) {
                Revocation revocation = revocations.get(index);
                if (revocation != null) {
                    revocation.omittedAtSequence = Math.min(revocation.omittedAtSequence, heartbeat.sequence());
                    continue;
                }
                next.set(index);
                KeyRange keys = KeyRange.ofSlice(index, sliceCount);
                long activeToken =
                        activeTokenOfRun >= 0 ? activeTokenOfRun : activeTokens.get()[index];
                long token = token(run, index, activeToken);
                String handover = activeToken == token ? null : handovers.getOrDefault(index, run.handover());
                append(ranges, keys, token, handover, index > run.index());
            }
            rememberIfUniform(run);
        }
        if (tokens.size() > ownedIndexes.cardinality()) {
            tokens.keySet().removeIf(index -> !ownedIndexes.get(index));
            generations.keySet().removeIf(index -> !ownedIndexes.get(index));
            uniformRuns.keySet().removeIf(index -> !ownedIndexes.get(index));
        }
        omitNarrowest(ranges, next);
        grantedSlices = next;
        return ranges;
    }

    /** Leaves out ranges that an acknowledgement has no room for; their slices are not served until others move. */
    private void omitNarrowest(List<GrantedRange> ranges, BitSet granted) {
        if (ranges.size() <= MAX_RANGES) {
            return;
        }
        List<GrantedRange> narrowest = ranges.stream()
                .sorted(Comparator.comparingInt((GrantedRange range) -> range.last() - range.first())
                        .thenComparing(GrantedRange::first, Comparator.reverseOrder()))
                .limit(ranges.size() - MAX_RANGES)
                .toList();
        ranges.removeAll(narrowest);
        for (GrantedRange range : narrowest) {
            int last = KeyRange.sliceOf(range.last(), sliceCount);
            granted.clear(KeyRange.sliceOf(range.first(), sliceCount), last + 1);
        }
    }

    /** Returns whether a run is as at an earlier heartbeat and held with its token, so that it is granted whole. */
    private boolean isUnchanged(OwnedSlice run, long activeToken) {
        UniformRun known = uniformRuns.get(run.index());
        return known != null
                && revocations.isEmpty()
                && known.token() == activeToken
                && known.run().equals(run);
    }

    private void rememberIfUniform(OwnedSlice run) {
        Long token = tokens.get(run.index());
        uniformRuns.remove(run.index());
        if (token == null || !revocations.isEmpty()) {
            return;
        }
        for (int index = run.index() + 1; index < run.end(); index++) {
            if (!token.equals(tokens.get(index))) {
                return;
            }
        }
        uniformRuns.put(run.index(), new UniformRun(run, token));
    }

    /** Appends a range, or extends the last one by it if the two may be granted as one. */
    private static void append(
            List<GrantedRange> ranges, KeyRange keys, long token, String handover, boolean isInOneRun) {
        GrantedRange before = ranges.isEmpty() ? null : ranges.get(ranges.size() - 1);
        boolean isContiguous = before != null && before.last() + 1 == keys.first() && before.token() == token;
        boolean hasNone = before != null && before.handover() == null && handover == null;
        boolean inOneRun = isInOneRun && before != null && Objects.equals(before.handover(), handover);
        if (isContiguous && (hasNone || inOneRun)) {
            ranges.set(ranges.size() - 1, new GrantedRange(before.first(), keys.last(), token, before.handover()));
        } else if (isContiguous && before.handover() == null && ranges.size() >= MAX_RANGES_WITH_HANDOVER) {
            ranges.set(ranges.size() - 1, new GrantedRange(before.first(), keys.last(), token, null));
        } else {
            boolean hasRoom = ranges.size() < MAX_RANGES_WITH_HANDOVER;
            ranges.add(new GrantedRange(keys.first(), keys.last(), token, hasRoom ? handover : null));
        }
    }

    /**
     * Returns the token of a slice. An incarnation keeps its token if that is of this generation or the one before: no
     * other backend server was granted the slice in between, for example where only the router restarted.
     */
    private long token(OwnedSlice slice, int index, long activeToken) {
        Long known = tokens.get(index);
        if (known != null && slice.generation() == generations.get(index)) {
            return known;
        }
        long activeGeneration = activeToken >> INCARNATION_BITS;
        boolean isReusable = activeGeneration == slice.generation() || activeGeneration == slice.generation() - 1;
        long token =
                activeToken >= 0 && isReusable ? activeToken : slice.generation() << INCARNATION_BITS | incarnation;
        if (known != null || activeToken < 0) {
            handovers.remove(index);
        }
        tokens.put(index, token);
        generations.put(index, slice.generation());
        return token;
    }

    /**
     * Returns, for each slice, the token of the first range that contains it; -1 where there is none. Looks at each
     * slice once, however many ranges contain it.
     */
    private long[] activeTokens(List<ActiveRange> ranges) {
        long[] tokenBySlice = new long[sliceCount];
        Arrays.fill(tokenBySlice, -1);
        BitSet known = new BitSet();
        for (ActiveRange range : ranges) {
            forEachOtherSlice(range.first(), range.last(), known, index -> tokenBySlice[index] = range.token());
        }
        return tokenBySlice;
    }

    private static long activeToken(KeyRange keys, TargetHeartbeat heartbeat) {
        for (ActiveRange range : heartbeat.activeRanges()) {
            if (keys.isWithin(range.first(), range.last())) {
                return range.token();
            }
        }
        return -1;
    }
}
