package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.siskindyke.kernel.balance.LevelUsagePolicy;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.HolderLease;
import org.siskindyke.kernel.membership.LeaseGrantor;
import org.siskindyke.kernel.membership.LeaseSettings;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.plugin.table.EmbeddedTable;

/**
 * Simulates a cluster: members with fake clocks, a fake network and a fake table, on one thread and one event queue.
 */
final class FakeWorld {
    static final ServiceName SERVICE = ServiceName.of("haat");
    static final long TICK_MILLIS = 25;

    final Random random;
    final EmbeddedTable table = new EmbeddedTable();
    final List<FakeMember> members = new ArrayList<>();
    final FakeLedger ledger;
    final FakeNetwork network = new FakeNetwork();
    final FakeTableFaults tableFaults = new FakeTableFaults();
    final LeaseParts parts;
    final int slices;
    /** Adjacent slices that are assigned together. */
    final int blockSlices;

    final boolean checksGrants;
    /** Whether a range of slices, elsewhere every two seconds, gets more calls than its owners can run. */
    boolean hasHotRange;
    /** Whether a member knows that earlier members of its instance have ended. */
    boolean membersFindPredecessors;

    private final List<String> placements = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<RuntimeException> internalErrors = new ArrayList<>();
    private long nowMillis;
    private long nextEvent;
    private int nextIncarnation = 1;

    /** Creates the two sides of a lease; a test may pass faulty ones to show that the checks detect the fault. */
    interface LeaseParts {
        LeaseParts REAL = new LeaseParts() {};

        default HolderLease holder() {
            return new HolderLease();
        }

        default LeaseGrantor grantor(LeaseSettings settings) {
            return new LeaseGrantor(settings);
        }

        /** Returns whether members grant renewals, as a fault, also while they have no valid lease of their own. */
        default boolean grantsWithoutLease() {
            return false;
        }
    }

    static final class FakeNetwork {
        int lossPercent;
        int duplicatePercent;
        long maxDelayMillis = 5;
        /** Directions in which all messages are lost, each as {@code from>to} with the names of two instances. */
        final java.util.Set<String> cut = new java.util.HashSet<>();

        boolean isCut(String from, String to) {
            return cut.contains(from + ">" + to);
        }
    }

    static final class FakeTableFaults {
        /** Maximum number of conditions and writes of one transaction; the users' platform refuses more. */
        int maxEntries = 100;

        boolean down;
        int loseRequestPercent;
        int loseAnswerPercent;
        /** Share of the writes that take effect long after their answer is no longer waited for. */
        int lateWritePercent;

        long maxDelayMillis = 10;
    }

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    FakeWorld(long seed, int slices, boolean checksGrants, LeaseParts parts) {
        this(seed, slices, checksGrants, parts, true);
    }

    /** Creates a cluster without members whose slices are in the table already, or must be created by the planner. */
    FakeWorld(long seed, int slices, boolean checksGrants, LeaseParts parts, boolean slicesExist) {
        this(seed, slices, 1, checksGrants, parts, slicesExist);
    }

    /** Creates a cluster as above whose slices are assigned in blocks. */
    FakeWorld(long seed, int slices, int blockSlices, boolean checksGrants, LeaseParts parts, boolean slicesExist) {
        this.blockSlices = blockSlices;
        this.random = new Random(seed);
        this.slices = slices;
        this.checksGrants = checksGrants;
        this.parts = parts;
        this.ledger = new FakeLedger(this);
        putDocument();
        if (slicesExist) {
            putSlices();
        }
    }

    private void putDocument() {
        ServiceDocument document = Documents.divided(SERVICE, slices, FakeLedger.MAX_CALL_MILLIS);
        table.commit(Transaction.builder()
                .put(RowPath.document(SERVICE), RowCodec.encode(new DocumentRow(document, 1, "test", 0)))
                .build());
    }

    /** Restores the table from its last copy; the operator writes the document again. */
    void restoreTable() {
        table.restore();
        putDocument();
    }

    private void putSlices() {
        List<OwnedSlice> all = new ArrayList<>();
        for (int i = 0; i < slices; i += blockSlices) {
            all.add(new OwnedSlice(i, 0, 0, null, blockSlices));
        }
        table.commit(Transaction.builder()
                .put(RowPath.unassigned(SERVICE), RowCodec.encode(new SliceOwnershipRow(SERVICE, null, all)))
                .build());
    }

    long nowMillis() {
        return nowMillis;
    }

    int nextIncarnation() {
        return nextIncarnation++;
    }

    FakeMember start(String instance, String domain) {
        FakeMember member = new FakeMember(this, instance, domain, new LevelUsagePolicy());
        members.add(member);
        member.start();
        return member;
    }

    void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, nextEvent++, action));
    }

    void report(RuntimeException exception) {
        internalErrors.add(exception);
    }

    long delayUpTo(long maxMillis) {
        return maxMillis == 0 ? 0 : random.nextLong(maxMillis + 1);
    }

    boolean happens(int percent) {
        return percent > 0 && random.nextInt(100) < percent;
    }

    /** Runs the events of a time span, and fails on the first internal error that a member reports. */
    void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            event.action().run();
            if (!internalErrors.isEmpty()) {
                throw new AssertionError(
                        "a member reported an internal error, "
                                + internalErrors.get(0).getMessage() + ", " + describe(),
                        internalErrors.get(0));
            }
        }
        nowMillis = endMillis;
    }

    /** Runs until each slice can be served; returns how many milliseconds that took, or -1 after the limit. */
    long runUntilServed(long limitMillis) {
        return runUntil(limitMillis, () -> unservedSlices() == 0);
    }

    /** Runs until a condition holds; returns how many milliseconds that took, or -1 after the limit. */
    long runUntil(long limitMillis, BooleanSupplier condition) {
        long startMillis = nowMillis;
        while (nowMillis - startMillis <= limitMillis) {
            if (condition.getAsBoolean()) {
                return nowMillis - startMillis;
            }
            runFor(TICK_MILLIS);
        }
        return -1;
    }

    void recordPlacement(MemberId by, PlacementDecision decision) {
        placements.add(nowMillis + " ms " + by + ": " + decision);
    }

    /** Returns the slices of the hot range; empty while there is none. */
    BitSet hotSlices() {
        BitSet hot = new BitSet();
        if (hasHotRange) {
            // Random numbers of adjacent seeds are alike, so that the range would stay where it is.
            int first = Math.floorMod(new SplittableRandom(nowMillis / 2_000).nextInt(), slices);
            hot.set(first, Math.min(slices, first + 12));
        }
        return hot;
    }

    /** Returns the number of moves of parts of a hot range that took effect. */
    long hotRangeMoves() {
        return placements.stream()
                .filter(text -> text.contains("hot range") && text.contains("committed=true"))
                .count();
    }

    /** Fails if the backend servers of two members may run calls of one slice. */
    void checkOneOwner() {
        for (int i = 0; i < slices; i++) {
            SliceRef slice = new SliceRef(SERVICE, i);
            List<FakeMember> owners =
                    members.stream().filter(member -> member.mayRun(slice)).toList();
            if (owners.size() > 1) {
                throw new AssertionError(slice + " may run at " + owners + ", " + describe());
            }
        }
    }

    int unservedSlices() {
        int unserved = 0;
        for (int i = 0; i < slices; i++) {
            SliceRef slice = new SliceRef(SERVICE, i);
            unserved += members.stream().anyMatch(m -> m.canServe(slice)) ? 0 : 1;
        }
        return unserved;
    }

    /** Returns whether the table has a serving member that has ended, and whose grantor is another such one. */
    boolean hasEndedMemberOfEndedGrantor() {
        Set<MemberId> running = members.stream()
                .filter(member -> !member.isGone())
                .map(member -> member.controller().row().id())
                .collect(Collectors.toSet());
        Map<MemberId, MemberId> grantorsOfEnded = table.list("members/", 100).toCompletableFuture().join().stream()
                .map(row -> RowCodec.decode(row, MemberRow.class))
                .filter(member -> member.mayServe() && !running.contains(member.id()))
                .collect(Collectors.toMap(MemberRow::id, MemberRow::grantor));
        return grantorsOfEnded.values().stream().anyMatch(grantorsOfEnded::containsKey);
    }

    /** Describes each member, for failure messages. */
    String describe() {
        StringBuilder text = new StringBuilder("at " + nowMillis + " ms");
        members.stream()
                .filter(m -> !m.isGone())
                .forEach(m -> text.append(System.lineSeparator()).append("  ").append(m.describe()));
        table.list("members/", 100).toCompletableFuture().join().stream()
                .forEach(r ->
                        text.append(System.lineSeparator()).append("  row ").append(r));
        table.list("holdings/", 100).toCompletableFuture().join().stream()
                .filter(r -> !r.value().contains("[]"))
                .forEach(r ->
                        text.append(System.lineSeparator()).append("  row ").append(r));
        placements.forEach(
                p -> text.append(System.lineSeparator()).append("  placement ").append(p));
        return text.toString();
    }
}
