package org.siskindyke.kernel.grant;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskindyke.kernel.grant.GrantReply.GrantedRange;
import org.siskindyke.kernel.grant.TargetHeartbeat.ActiveRange;
import org.siskindyke.kernel.grant.TargetHeartbeat.ReleasedRange;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.kernel.ownership.OwnedSlice;

/**
 * Decides what the backend server beside this router holds, by its heartbeats. Confined to the control thread.
 *
 * <p>A hold never outlasts the router's own lease, so whoever takes slices over needs to wait only for that lease. A
 * fencing token is made of the slice's generation, which grows with each owner in the table, and a counter for the
 * lives of backend servers under one owner.
 */
public final class TargetGrants {
    /** Bits of a token that count lives of backend servers within one generation. */
    private static final int LIFE_BITS = 10;
    /** Part of the lease that a hold may use, so that clocks that differ by 2% do not let it outlast the lease. */
    private static final double LEASE_SHARE = 0.96;
    /** How much longer than told a hold may last by this router's clock. */
    private static final double SLOW_CLOCK = 1.03;
    /** Ranges with a handover beside which all others fit into an acknowledgement of 4 KiB without one. */
    private static final int MOST_RANGES_WITH_HANDOVER = 40;

    private final int slices;
    private final long longestHoldMillis;
    private final Map<Integer, Long> tokens = new HashMap<>();
    private final Map<Integer, Long> generations = new HashMap<>();
    private final Map<Integer, Revocation> revocations = new HashMap<>();
    private final Map<Integer, String> handovers = new HashMap<>();
    private TargetName target;
    private long bornMillis = Long.MIN_VALUE;
    private long sequence;
    private long life;
    private long grantEndMillis;
    private BitSet grantedSlices = new BitSet();

    /**
     * Creates the grants of one service. Until the longest hold has passed, the backend server may hold what an earlier
     * life of this router granted.
     *
     * @param slices number of slices of the service
     * @param longestHoldMillis longest hold to grant
     * @param nowMillis the present
     */
    public TargetGrants(int slices, long longestHoldMillis, long nowMillis) {
        this.slices = slices;
        this.longestHoldMillis = longestHoldMillis;
        this.grantEndMillis = nowMillis + (long) (longestHoldMillis * SLOW_CLOCK);
    }

    /** A slice that is being taken back. */
    private static final class Revocation {
        private final Group group;
        private long omittedAtSequence = Long.MAX_VALUE;
        private boolean released;

        private Revocation(Group group) {
            this.group = group;
        }
    }

    /** Slices that are taken back together. */
    private static final class Group {
        private final Runnable whenReleased;
        private int left;

        private Group(int left, Runnable whenReleased) {
            this.left = left;
            this.whenReleased = whenReleased;
        }
    }

    /**
     * Tells whether a heartbeat comes from the present life and is not older than one that was seen.
     *
     * @param heartbeat the heartbeat
     */
    public boolean isCurrent(TargetHeartbeat heartbeat) {
        if (heartbeat.startMillis() != bornMillis) {
            return heartbeat.startMillis() > bornMillis;
        }
        return heartbeat.sequence() > sequence || !heartbeat.target().equals(target);
    }

    /**
     * Takes a current heartbeat and answers it.
     *
     * @param heartbeat the heartbeat
     * @param owned the slices that this router owns
     * @param leaseEndMillis end of the router's lease
     * @param nowMillis the present
     * @return what the backend server is to hold
     */
    public GrantReply onHeartbeat(
            TargetHeartbeat heartbeat, List<OwnedSlice> owned, long leaseEndMillis, long nowMillis) {
        if (heartbeat.startMillis() != bornMillis) {
            startLife(heartbeat);
        }
        sequence = heartbeat.sequence();
        noteReleased(heartbeat);
        long holdMillis = holdMillis(leaseEndMillis, nowMillis);
        if (holdMillis <= 0) {
            return GrantReply.NO_RENEWAL;
        }
        List<GrantedRange> ranges = ranges(heartbeat, owned);
        grantEndMillis = Math.max(grantEndMillis, nowMillis + (long) (holdMillis * SLOW_CLOCK));
        return new GrantReply(true, ranges, holdMillis);
    }

    private long holdMillis(long leaseEndMillis, long nowMillis) {
        if (leaseEndMillis <= nowMillis) {
            return 0;
        }
        return Math.min(longestHoldMillis, (long) ((leaseEndMillis - nowMillis) * LEASE_SHARE));
    }

    private void startLife(TargetHeartbeat heartbeat) {
        if (target != null) {
            life++;
            onTargetStopped();
        }
        target = heartbeat.target();
        bornMillis = heartbeat.startMillis();
        tokens.clear();
    }

    /** Learns that the backend server's process has ended, so that it holds nothing any more. */
    public void onTargetStopped() {
        grantEndMillis = Long.MIN_VALUE;
        grantedSlices = new BitSet();
        releaseAll();
    }

    /** Releases what was being taken back from a backend server whose holds have lapsed. */
    public void tick(long nowMillis) {
        if (nowMillis >= grantEndMillis) {
            grantedSlices = new BitSet();
            releaseAll();
        }
    }

    /**
     * Takes slices back: they are left out of the next answer.
     *
     * @param indexes the slices
     * @param nowMillis the present
     * @param whenReleased runs once the backend server holds none of them
     */
    public void revoke(Collection<Integer> indexes, long nowMillis, Runnable whenReleased) {
        Group group = new Group(indexes.size(), whenReleased);
        indexes.forEach(index -> revocations.put(index, new Revocation(group)));
        tick(nowMillis);
    }

    /** Grants slices again that were taken back, or forgets them where they have another owner. */
    public void cancelRevocations(Collection<Integer> indexes) {
        indexes.forEach(revocations::remove);
    }

    /** Returns what the backend server left when it released a slice, or null. */
    public String handover(int index) {
        return handovers.get(index);
    }

    /** Returns the slices that the backend server may serve. */
    public BitSet grantedSlices() {
        return (BitSet) grantedSlices.clone();
    }

    /** Returns when everything that was granted has surely lapsed, by this router's clock. */
    public long grantEndMillis() {
        return grantEndMillis;
    }

    private void noteReleased(TargetHeartbeat heartbeat) {
        for (ReleasedRange range : heartbeat.releasedRanges()) {
            int first = KeyRange.sliceOf(range.first(), slices);
            int last = KeyRange.sliceOf(range.last(), slices);
            for (int index = first; index <= last; index++) {
                if (KeyRange.ofSlice(index, slices).isWithin(range.first(), range.last())) {
                    handovers.put(index, range.handover());
                }
            }
        }
        List<Integer> released = new ArrayList<>();
        revocations.forEach((index, revocation) -> {
            boolean answered = heartbeat.sequence() > revocation.omittedAtSequence;
            if (answered && !revocation.released && !isHeld(heartbeat, index)) {
                released.add(index);
            }
        });
        released.forEach(index -> release(revocations.get(index)));
    }

    private boolean isHeld(TargetHeartbeat heartbeat, int index) {
        KeyRange range = KeyRange.ofSlice(index, slices);
        return heartbeat.activeRanges().stream().anyMatch(h -> range.overlaps(h.first(), h.last()));
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
        revocation.group.left--;
        if (revocation.group.left == 0) {
            revocation.group.whenReleased.run();
        }
    }

    private List<GrantedRange> ranges(TargetHeartbeat heartbeat, List<OwnedSlice> owned) {
        List<GrantedRange> ranges = new ArrayList<>();
        BitSet next = new BitSet();
        Set<Integer> ownedIndexes = new HashSet<>();
        for (OwnedSlice slice : owned) {
            ownedIndexes.add(slice.index());
            Revocation revocation = revocations.get(slice.index());
            if (revocation != null) {
                revocation.omittedAtSequence = Math.min(revocation.omittedAtSequence, heartbeat.sequence());
                continue;
            }
            next.set(slice.index());
            append(ranges, slice, heartbeat);
        }
        tokens.keySet().retainAll(ownedIndexes);
        generations.keySet().retainAll(ownedIndexes);
        grantedSlices = next;
        return ranges;
    }

    private void append(List<GrantedRange> ranges, OwnedSlice slice, TargetHeartbeat heartbeat) {
        KeyRange keys = KeyRange.ofSlice(slice.index(), slices);
        long token = token(slice, keys, heartbeat);
        boolean holds = heldToken(keys, heartbeat) == token;
        String known = handovers.getOrDefault(slice.index(), slice.handover());
        String handover = holds || ranges.size() >= MOST_RANGES_WITH_HANDOVER ? null : known;
        GrantedRange before = ranges.isEmpty() ? null : ranges.get(ranges.size() - 1);
        boolean joins = before != null
                && before.last() + 1 == keys.first()
                && before.token() == token
                && before.handover() == null
                && handover == null;
        if (joins) {
            ranges.set(ranges.size() - 1, new GrantedRange(before.first(), keys.last(), token, null));
        } else {
            ranges.add(new GrantedRange(keys.first(), keys.last(), token, handover));
        }
    }

    /** Returns the token of a slice for the present life; one that the life was granted before is kept. */
    private long token(OwnedSlice slice, KeyRange keys, TargetHeartbeat heartbeat) {
        Long known = tokens.get(slice.index());
        if (known != null && slice.generation() == generations.get(slice.index())) {
            return known;
        }
        long held = heldToken(keys, heartbeat);
        long heldGeneration = held >> LIFE_BITS;
        boolean ofPredecessor = heldGeneration == slice.generation() || heldGeneration == slice.generation() - 1;
        long token = held >= 0 && ofPredecessor ? held : slice.generation() << LIFE_BITS | life;
        if (known != null || held < 0) {
            handovers.remove(slice.index());
        }
        tokens.put(slice.index(), token);
        generations.put(slice.index(), slice.generation());
        return token;
    }

    private static long heldToken(KeyRange keys, TargetHeartbeat heartbeat) {
        for (ActiveRange range : heartbeat.activeRanges()) {
            if (keys.isWithin(range.first(), range.last())) {
                return range.token();
            }
        }
        return -1;
    }
}
