package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.siskindyke.kernel.balance.SliceBalancePolicy;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.crash.CrashInvestigation;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.HolderLease;
import org.siskindyke.kernel.membership.LeaseGrantor;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.membership.TargetDeparture;
import org.siskindyke.kernel.place.EvacuationOrder;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * The control state machine of one member.
 *
 * <p>All methods must be called on one thread: the control thread in production, the test's thread in tests. No method
 * blocks, starts a thread or reads a clock other than the one in the {@link ControlContext}.
 */
public final class MemberController {
    private final ControlContext context;
    private final TableWriter writer;
    private final TableSync sync;
    private final MemberRegistration registration;
    private final EraRecovery recovery;
    private final GranteeMonitor granteeMonitor;
    private final DeadMemberDetector deadMemberDetector;
    private final SilentMemberDetector silentMemberDetector;
    private final ReleaseController releases;
    private final AssignmentPlanner planner;
    private final SliceBalancer balancer;
    private final HotRangeController hotRanges;
    private final HandoverController handover;
    private final LeaveController leave;
    private final SuspectRegistry suspects;

    /**
     * Creates a member that has not joined yet.
     *
     * @param context settings and collaborators that all parts share
     * @param template the row to register; its state, epoch and grantor are replaced when the member joins
     * @param traffic pauses and resumes calls of slices
     * @param loads measures the load of the backend servers beside this router
     * @param policy chooses the slices to hand to less loaded owners
     */
    public MemberController(
            ControlContext context,
            MemberRow template,
            SliceTraffic traffic,
            LoadSource loads,
            SliceBalancePolicy policy) {
        this(
                context,
                template,
                traffic,
                loads,
                policy,
                new HolderLease(),
                new LeaseGrantor(context.settings().lease()));
    }

    /** Creates a member with given implementations of both sides of a lease; tests may pass faulty ones. */
    MemberController(
            ControlContext context,
            MemberRow template,
            SliceTraffic traffic,
            LoadSource loads,
            SliceBalancePolicy policy,
            HolderLease lease,
            LeaseGrantor leaseGrantor) {
        this.context = context;
        context.view().observeIgnored(this::onRowIgnored);
        this.writer = new TableWriter(context);
        this.sync = new TableSync(context, template.failureDomain(), this::onRows);
        this.registration = new MemberRegistration(context, sync, writer, template, lease);
        this.recovery = new EraRecovery(context, sync, writer, registration);
        registration.setSettled(recovery::isSettled);
        this.deadMemberDetector = new DeadMemberDetector(context, sync, writer, recovery::isSettled);
        this.granteeMonitor = new GranteeMonitor(context, sync, registration, deadMemberDetector, leaseGrantor);
        this.silentMemberDetector = new SilentMemberDetector(context, deadMemberDetector);
        sync.observeGossip(silentMemberDetector::onGossipSent, silentMemberDetector::onGossipAnswered);
        this.releases = new ReleaseController(context, sync, writer, traffic);
        this.planner = new AssignmentPlanner(context, sync, writer, registration, recovery::isSettled);
        this.balancer = new SliceBalancer(context, registration, releases, loads, policy);
        this.hotRanges = new HotRangeController(context, registration, releases, loads);
        this.handover = new HandoverController(context, registration, releases);
        this.suspects = new SuspectRegistry(context, sync, writer);
        sync.observeSuspects(suspects::onReports);
        this.leave = new LeaveController(context, registration, granteeMonitor, handover, writer);
    }

    /**
     * Sets the function that finds a predecessor: a member of the same instance whose process has provably ended. When
     * this member joins, it declares its predecessor dead and takes over its slices in the same transaction.
     *
     * @param finder returns the predecessor, or empty where there is none to declare dead
     */
    public void setPredecessorFinder(Function<ClusterView, Optional<MemberRow>> finder) {
        registration.setPredecessorFinder(finder::apply);
    }

    /** Returns this member's copy of the table. */
    public ClusterView view() {
        return context.view();
    }

    /** Returns the lease under which this member serves. */
    public HolderLease lease() {
        return registration.lease();
    }

    /** Returns this member's row as last committed, or the template before the member has joined. */
    public MemberRow row() {
        return registration.row();
    }

    /** Returns whether the member's row was committed and the member has not ended. */
    public boolean isJoined() {
        return registration.isJoined();
    }

    /** Returns whether this member was declared dead or its row was deleted; it never joins again. */
    public boolean isEnded() {
        return registration.isEnded();
    }

    /** Returns the number of members that record this one as their grantor. */
    public int granteeCount() {
        return granteeMonitor.granteeCount();
    }

    /** Returns the number of transactions whose outcome is not known yet. */
    public int pendingWrites() {
        return writer.pendingCount();
    }

    /** Returns the number of slices whose release is in progress. */
    public int releasingSlices() {
        return releases.releasingCount();
    }

    /**
     * Returns when the table last answered a poll for changes or a read for this member's view, in milliseconds of this
     * member's clock; {@link Long#MIN_VALUE} for never. Answers to commits do not count.
     */
    public long lastTableAnswerMillis() {
        return sync.lastTableAnswerMillis();
    }

    /** Runs all periodic work that is due. Must be called every few tens of milliseconds. */
    public void tick() {
        long nowMillis = context.nowMillis();
        if (registration.isEnded()) {
            return;
        }
        view().noticeEra(context.table().era());
        writer.tick(nowMillis);
        sync.tick(nowMillis);
        recovery.tick(nowMillis);
        registration.tick(nowMillis);
        releases.tick(nowMillis);
        granteeMonitor.tick(nowMillis);
        if (registration.isJoined()) {
            deadMemberDetector.tick(nowMillis);
            silentMemberDetector.tick(nowMillis);
            handover.tick(nowMillis);
            if (!leave.isActive()) {
                planner.tick(nowMillis);
            }
            if (!leave.isActive() && recovery.isSettled(nowMillis)) {
                balancer.tick(nowMillis);
                hotRanges.tick(nowMillis);
            }
        }
        leave.tick(nowMillis);
        suspects.tick(nowMillis);
    }

    /** Returns whether this member has joined and its view contains the slices that it took over when it joined. */
    public boolean knowsOwnSlices() {
        return registration.isJoined() && view().replica().version() >= registration.joinedRevision();
    }

    /** Answers a renewal, or a probe by a member that looks for a grantor. */
    public PeerMessenger.RenewalReply onRenewal(PeerMessenger.Renewal renewal) {
        return granteeMonitor.onRenewal(renewal);
    }

    /** Applies the changes that a peer sent and returns those that the peer lacks. */
    public PeerMessenger.Gossip onGossip(PeerMessenger.Gossip gossip) {
        return sync.onGossip(gossip);
    }

    /** Returns the load of this member's backend server of a service; empty where it has none. */
    public Optional<TargetUsage> usage(ServiceName service) {
        return balancer.usage(service);
    }

    /** Starts to hand over slices if this member has joined and owns them. */
    public void onRelease(PeerMessenger.Release release) {
        if (registration.isJoined()) {
            releases.start(release);
        }
    }

    /** Replaces the backend servers that this member announces in its row. */
    public void setTargets(List<TargetAnnouncement> targets) {
        registration.setTargets(targets);
    }

    /** Replaces the departures that this member records in its row. */
    public void setDepartures(List<TargetDeparture> departures) {
        registration.setDepartures(departures);
    }

    /** Returns the departures that this member's row in the table records; none before it has joined. */
    public List<TargetDeparture> recordedDepartures() {
        return registration.isJoined() ? registration.row().departures() : List.of();
    }

    /** Returns from where this member knows all rows of the table. */
    public RowKnowledge rowKnowledge() {
        return sync.rowKnowledge();
    }

    /** Returns whether this member owns no slice of a service and no release, of any service, is in progress. */
    public boolean hasHandedOver(ServiceName service) {
        return handover.isFinished(service);
    }

    /**
     * Invalidates the lease until it is renewed. Called after the machine was suspended, because the monotonic clock
     * did not count the time of the suspension.
     */
    public void onSuspended() {
        if (registration.isJoined()) {
            registration.invalidateLease();
        }
    }

    /**
     * Returns whether this member has to watch the table for configurations itself: it is a reader, or no other member
     * has sent gossip lately, or the table answers none of them.
     */
    public boolean watchesConfiguration() {
        return sync.isReader() || !sync.hasRecentContact();
    }

    /** Returns whether this member is one of those in its failure domain that read the table. */
    public boolean isReader() {
        return sync.isReader();
    }

    /** Accepts a configuration that is newer than the known one, and spreads it by gossip. */
    public void onConfiguration(ConfigurationText configuration) {
        sync.acceptConfiguration(configuration, null);
    }

    /** Accepts evacuation orders that are newer than the known ones, and spreads them by gossip. */
    public void onEvacuations(List<EvacuationOrder> orders) {
        sync.acceptEvacuations(orders);
    }

    /**
     * Records that a backend server beside this member has crashed.
     *
     * @param target the backend server
     * @param running the requests that it ran when it ended
     */
    public void onCrash(TargetIncarnation target, List<CrashInvestigation.Loss> running) {
        suspects.onCrash(target, running);
    }

    /** Records that a backend server beside this member has answered a request, which clears it of suspicion. */
    public void onSuspectAnswered(RequestFingerprint request) {
        suspects.onAnswered(request);
    }

    /** Starts to leave: the member hands over its slices, then declares itself dead in the table. */
    public void leave() {
        leave.start();
    }

    /** Called once no call is in progress, which a leaving member waits for before it ends. */
    public void onTrafficIdle() {
        leave.onTrafficIdle();
    }

    /** Reads changes from the table at once. */
    public void refresh() {
        sync.refresh();
    }

    /**
     * Writes a transaction that does not concern ownership.
     *
     * @param transaction the transaction
     * @param onOutcome receives the outcome on the control thread once it is known, however long that takes
     */
    public void submit(Transaction transaction, Consumer<CommitOutcome> onOutcome) {
        writer.submit(transaction, context.nowMillis(), outcome -> {
            sync.refresh();
            onOutcome.accept(outcome);
        });
    }

    private void onRows(List<Row> rows) {
        long nowMillis = context.nowMillis();
        for (Row row : rows) {
            if (row.path().isIn(RowPath.MEMBERS) && !row.deleted()) {
                onMemberRow(RowCodec.decode(row, MemberRow.class), nowMillis);
            } else if (row.path().isIn(RowPath.SUSPECTS)) {
                suspects.onRow(row);
            }
        }
    }

    private void onRowIgnored(RowPath path, SiskindykeException cause) {
        if (cause.code() == ErrorCode.INVARIANT_VIOLATED) {
            context.listener().onInternalError(cause);
        } else {
            context.listener().onRowIgnored(path, cause);
        }
    }

    private void onMemberRow(MemberRow member, long nowMillis) {
        if (member.id().equals(context.self())) {
            registration.onOwnRow(member);
        } else {
            granteeMonitor.onMemberRow(member, nowMillis);
            deadMemberDetector.onMemberRow(member, nowMillis);
            silentMemberDetector.onMemberRow(member);
        }
    }
}
