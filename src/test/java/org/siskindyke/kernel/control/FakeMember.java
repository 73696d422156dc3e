package org.siskindyke.kernel.control;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.siskindyke.kernel.balance.SliceBalancePolicy;
import org.siskindyke.kernel.balance.SliceLoad;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.LeaseSettings;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.SliceRuns;

/**
 * A member with a drifting clock that can be paused, crashed or made to leave. It rejoins after it was declared dead.
 */
final class FakeMember implements PeerMessenger, SliceTraffic, LoadSource, ControlListener {
    private static final long REJOIN_MILLIS = 200;
    private static final long OUTAGE_BOUND_MILLIS = 100_000;
    private static final ControlSettings SETTINGS =
            new ControlSettings(LeaseSettings.DEFAULT, 250, 200, 500, OUTAGE_BOUND_MILLIS, true);

    private final FakeWorld world;
    private final String instance;
    private final String domain;
    private final SliceBalancePolicy policy;
    private final double clockRate;
    private final long clockOffsetMillis;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final Set<SliceRef> pausedSlices = new HashSet<>();
    private final Map<SliceRef, Long> busyUntilMillis = new HashMap<>();
    private MemberController controller;
    private FakeTable table;
    private boolean paused;
    private boolean lost;
    private boolean left;
    /** Whether the process was killed and the next one of this instance has not started yet. */
    private boolean killed;
    /** Start of the first controller whose process was not killed; callbacks of earlier ones are dropped. */
    private int firstLiveStart;
    /** Until when the backend server keeps the grants of a killed process, in the time of the simulation. */
    private final Map<SliceRef, Long> keptGrantsUntilMillis = new HashMap<>();
    /** Number of controllers created so far; ticks, replies and idle reports for an earlier one are dropped. */
    private int startCount;

    FakeMember(FakeWorld world, String instance, String domain, SliceBalancePolicy policy) {
        this.world = world;
        this.instance = instance;
        this.domain = domain;
        this.policy = policy;
        this.clockRate = 0.97 + 0.06 * world.random.nextDouble();
        this.clockOffsetMillis = world.random.nextInt(1_000_000);
    }

    void start() {
        MemberId self = MemberId.of(InstanceName.of(instance), world.nextIncarnation());
        startCount++;
        pausedSlices.clear();
        table = new FakeTable(world, this, startCount);
        ClusterView ownView = new ClusterView();
        ownView.assignInBlocks(FakeWorld.SERVICE, world.blockSlices);
        ControlContext context = new ControlContext(
                self, SETTINGS, this::clockMillis, new Random(world.random.nextLong()), table, this, this, ownView);
        MemberRow template = new MemberRow(
                self,
                InstanceName.of(instance),
                FailureDomain.of(domain),
                new MemberAddress("127.0.0.1", 1, 2, 3),
                MemberState.ALIVE,
                0,
                MemberId.TABLE,
                List.of(new TargetAnnouncement(
                        FakeWorld.SERVICE, TargetName.of("t"), "127.0.0.1", 4, true, world.checksGrants)),
                null,
                null,
                List.of());
        controller = new MemberController(
                context,
                template,
                this,
                this,
                policy,
                world.parts.holder(),
                world.parts.grantor(LeaseSettings.DEFAULT));
        if (world.membersFindPredecessors) {
            controller.setPredecessorFinder(view -> findPredecessor(view, self));
        }
        tickLater(startCount);
    }

    /** Returns an earlier process of this instance, which has ended since an instance runs one at a time. */
    private Optional<MemberRow> findPredecessor(ClusterView view, MemberId self) {
        return view.members().serving().stream()
                .filter(member -> member.instance().value().equals(instance)
                        && !member.id().equals(self))
                .findFirst();
    }

    private void tickLater(int startNumber) {
        world.schedule(FakeWorld.TICK_MILLIS, () -> {
            if (startNumber == startCount && !isGone()) {
                run(controller::tick);
                tickLater(startNumber);
            }
        });
    }

    MemberController controller() {
        return controller;
    }

    FakeTable table() {
        return table;
    }

    String instance() {
        return instance;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isGone() {
        return lost || left || killed;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!deferred.isEmpty() && !paused) {
            deferred.remove().run();
        }
    }

    void lose() {
        lost = true;
        deferred.clear();
    }

    /** Ends the process at once; its backend server keeps the grants until the lease ends. */
    void kill() {
        for (int i = 0; i < world.slices; i++) {
            SliceRef slice = new SliceRef(FakeWorld.SERVICE, i);
            if (canServe(slice)) {
                keptGrantsUntilMillis.put(slice, trueLeaseEndMillis());
            }
        }
        killed = true;
        paused = false;
        deferred.clear();
        firstLiveStart = startCount + 1;
    }

    /** Starts the next process of an instance whose process was killed. */
    void restart() {
        killed = false;
        start();
    }

    /** Returns whether the backend server of this member may run calls of a slice. */
    boolean mayRun(SliceRef slice) {
        boolean renewsGrants = !isGone() && controller.lease().isValid(clockMillis());
        boolean keepsGrant = !renewsGrants && world.nowMillis() < keptGrantsUntilMillis.getOrDefault(slice, 0L);
        return keepsGrant || !paused && canServe(slice);
    }

    void leave() {
        run(() -> {
            controller.leave();
            controller.onTrafficIdle();
        });
    }

    boolean canServe(SliceRef slice) {
        long now = clockMillis();
        return !isGone()
                && !pausedSlices.contains(slice)
                && controller.isJoined()
                && controller.lease().isValid(now)
                && controller
                        .view()
                        .ownership()
                        .owner(slice)
                        .filter(o -> o.isUsableBy(controller.row().id(), now))
                        .isPresent();
    }

    /** Returns the end of the lease in the time of the simulation, which differs from this member's drifting clock. */
    long trueLeaseEndMillis() {
        return world.nowMillis() + (long) Math.floor((controller.lease().leaseEndMillis() - clockMillis()) / clockRate);
    }

    void onRun(SliceRef slice, long endMillis) {
        busyUntilMillis.merge(slice, endMillis, Math::max);
    }

    long clockMillis() {
        return clockOffsetMillis + (long) (world.nowMillis() * clockRate);
    }

    /** Runs an action of this member now, or once it is no longer paused. */
    void run(Runnable action) {
        if (isGone()) {
            return;
        }
        if (paused) {
            deferred.add(action);
            return;
        }
        try {
            action.run();
        } catch (RuntimeException e) {
            world.report(e);
        }
    }

    /** Runs an action of the process with a start number, unless that process was killed. */
    void run(int startNumber, Runnable action) {
        run(() -> {
            if (startNumber >= firstLiveStart) {
                action.run();
            }
        });
    }

    // Messages

    private void send(MemberRow to, Consumer<FakeMember> delivery) {
        int copies = world.happens(world.network.duplicatePercent) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!world.happens(world.network.lossPercent)) {
                world.schedule(world.delayUpTo(world.network.maxDelayMillis), () -> deliver(to, delivery));
            }
        }
    }

    private void deliver(MemberRow to, Consumer<FakeMember> delivery) {
        for (FakeMember member : world.members) {
            boolean addressed =
                    !member.isGone() && member.instance.equals(to.instance().value());
            if (addressed && !world.network.isCut(instance, member.instance)) {
                member.run(() -> delivery.accept(member));
            }
        }
    }

    private void reply(FakeMember requester, Runnable action) {
        if (!world.happens(world.network.lossPercent) && !world.network.isCut(instance, requester.instance)) {
            world.schedule(world.delayUpTo(world.network.maxDelayMillis), () -> requester.run(action));
        }
    }

    @Override
    public void renew(MemberRow to, Renewal renewal, Consumer<RenewalReply> onReply) {
        int startNumber = startCount;
        send(to, peer -> {
            RenewalReply answer = peer.answer(renewal);
            peer.reply(this, () -> ifCurrent(startNumber, () -> onReply.accept(answer)));
        });
    }

    private RenewalReply answer(Renewal renewal) {
        RenewalReply answer = controller.onRenewal(renewal);
        boolean broken = world.parts.grantsWithoutLease()
                && answer.decision() == GrantDecision.NO_LEASE
                && controller.isJoined()
                && !renewal.probe();
        return broken ? new RenewalReply(answer.sequence(), GrantDecision.GRANTED, answer.leaseMillis()) : answer;
    }

    @Override
    public void gossip(MemberRow to, Gossip gossip, Consumer<Gossip> onReply) {
        int startNumber = startCount;
        send(to, peer -> {
            Gossip answer = peer.controller.onGossip(gossip);
            peer.reply(this, () -> ifCurrent(startNumber, () -> onReply.accept(answer)));
        });
    }

    @Override
    public void requestUsage(MemberRow to, ServiceName service, Consumer<TargetUsage> onReply) {
        int startNumber = startCount;
        send(
                to,
                peer -> peer.controller
                        .usage(service)
                        .ifPresent(usage ->
                                peer.reply(this, () -> ifCurrent(startNumber, () -> onReply.accept(usage)))));
    }

    @Override
    public Optional<TargetUsage> usage(ServiceName service, List<Integer> owned) {
        return Optional.of(new TargetUsage(owned.size(), 1, 1, owned.size()));
    }

    @Override
    public List<SliceLoad> sliceLoads(ServiceName service, List<Integer> owned) {
        return owned.stream().map(i -> new SliceLoad(i, 1)).toList();
    }

    @Override
    public double recentCallsPerSecond(ServiceName service) {
        return recentSliceLoads(service).stream()
                .mapToDouble(SliceLoad::callsPerSecond)
                .sum();
    }

    @Override
    public List<SliceLoad> recentSliceLoads(ServiceName service) {
        BitSet hot = world.hotSlices();
        hot.and(SliceRuns.bits(
                controller.view().ownedSlices(service, controller.row().id())));
        return hot.stream().mapToObj(slice -> new SliceLoad(slice, 400)).toList();
    }

    @Override
    public void release(MemberRow to, Release release) {
        send(to, peer -> peer.controller.onRelease(release));
    }

    private void ifCurrent(int startNumber, Runnable action) {
        if (startNumber == startCount) {
            action.run();
        }
    }

    // Traffic

    @Override
    public void pause(Collection<SliceRef> slices, Runnable whenIdle) {
        pausedSlices.addAll(slices);
        long idleMillis = world.nowMillis();
        for (SliceRef slice : slices) {
            idleMillis = Math.max(idleMillis, busyUntilMillis.getOrDefault(slice, 0L));
            idleMillis = Math.max(idleMillis, keptGrantsUntilMillis.getOrDefault(slice, 0L));
        }
        int startNumber = startCount;
        world.schedule(idleMillis - world.nowMillis(), () -> run(() -> ifCurrent(startNumber, whenIdle)));
    }

    @Override
    public void resume(Collection<SliceRef> slices) {
        pausedSlices.removeAll(slices);
    }

    // State changes of the member

    @Override
    public void onDeclaredDead(MemberId declaredBy) {
        int startNumber = startCount;
        world.schedule(REJOIN_MILLIS, () -> run(() -> ifCurrent(startNumber, this::start)));
    }

    @Override
    public void onPlacement(PlacementDecision decision) {
        world.recordPlacement(controller.row().id(), decision);
    }

    @Override
    public void onLeft() {
        left = true;
    }

    @Override
    public void onInternalError(RuntimeException exception) {
        world.report(exception);
    }

    String describe() {
        return instance + " joined=" + controller.isJoined() + " ended=" + controller.isEnded() + " paused=" + paused
                + " row="
                + controller.row() + " lease=" + controller.lease().isValid(clockMillis()) + " grantees="
                + controller.granteeCount()
                + " writes=" + controller.pendingWrites() + " releasing=" + controller.releasingSlices()
                + " pausedSlices=" + pausedSlices.size()
                + " version=" + controller.view().replica().version() + " table=" + controller.lastTableAnswerMillis();
    }

    @Override
    public String toString() {
        return instance;
    }
}
