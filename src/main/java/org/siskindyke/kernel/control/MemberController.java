package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.siskindyke.kernel.balance.SliceBalancePolicy;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.HolderLease;
import org.siskindyke.kernel.membership.LeaseGrantor;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * The control state machine of one member.
 *
 * <p>All methods are called on one thread: the control thread in production, the test's thread in tests. Nothing here
 * blocks, starts a thread or reads a clock other than the one passed in.
 */
public final class MemberController {
    private final ControlContext context;
    private final TableWriter writer;
    private final TableSync sync;
    private final MemberRegistration registration;
    private final GranteeMonitor granteeMonitor;
    private final DeadMemberDetector deadMemberDetector;
    private final SilentMemberDetector silentMemberDetector;
    private final ReleaseController releases;
    private final AssignmentPlanner planner;
    private final SliceBalancer balancer;
    private final HandoverController handover;
    private final LeaveController leave;

    /**
     * Creates a member that has not joined yet.
     *
     * @param context shared parts
     * @param template the member's row but for state, epoch and grantor
     * @param traffic stops and resumes calls of slices
     * @param loads tells how busy targets are
     * @param policy chooses slices to hand over
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

    /** Creates a member with its own implementations of the two sides of a lease. */
    MemberController(
            ControlContext context,
            MemberRow template,
            SliceTraffic traffic,
            LoadSource loads,
            SliceBalancePolicy policy,
            HolderLease lease,
            LeaseGrantor leaseGrantor) {
        this.context = context;
        this.writer = new TableWriter(context);
        this.sync = new TableSync(context, template.failureDomain(), this::onRows);
        this.registration = new MemberRegistration(context, sync, writer, template, lease);
        this.deadMemberDetector = new DeadMemberDetector(context, sync, writer);
        this.granteeMonitor = new GranteeMonitor(context, sync, registration, deadMemberDetector, leaseGrantor);
        this.silentMemberDetector = new SilentMemberDetector(context, deadMemberDetector);
        sync.observeGossip(silentMemberDetector::onGossipSent, silentMemberDetector::onGossipAnswered);
        this.releases = new ReleaseController(context, sync, writer, traffic);
        this.planner = new AssignmentPlanner(context, sync, writer, registration);
        this.balancer = new SliceBalancer(context, registration, releases, loads, policy);
        this.handover = new HandoverController(context, registration, releases);
        this.leave = new LeaveController(context, registration, granteeMonitor, handover, writer);
    }

    /**
     * Lets this member declare a predecessor of its instance dead when it joins.
     *
     * @param finder finds a member of the same instance whose process has provably ended
     */
    public void setPredecessorFinder(Function<ClusterView, Optional<MemberRow>> finder) {
        registration.setPredecessorFinder(finder::apply);
    }

    /** Returns what this member knows of the table. */
    public ClusterView view() {
        return context.view();
    }

    /** Returns this member's lease. */
    public HolderLease lease() {
        return registration.lease();
    }

    /** Returns this member's row as last committed. */
    public MemberRow row() {
        return registration.row();
    }

    /** Tells whether the member's row is in the table and it has not ended. */
    public boolean isJoined() {
        return registration.isJoined();
    }

    /** Tells whether the member has ended. */
    public boolean isEnded() {
        return registration.isEnded();
    }

    /** Returns the number of members that renew their lease here. */
    public int granteeCount() {
        return granteeMonitor.granteeCount();
    }

    /** Returns the number of transactions whose outcome is not known yet. */
    public int pendingWrites() {
        return writer.pendingCount();
    }

    /** Returns the number of slices that are being handed over. */
    public int releasingSlices() {
        return releases.releasingCount();
    }

    /** Returns when the table last answered, by this member's clock; {@link Long#MIN_VALUE} for never. */
    public long lastTableAnswerMillis() {
        return sync.lastTableAnswerMillis();
    }

    /** Does what is due. Called every few tens of milliseconds. */
    public void tick() {
        long nowMillis = context.nowMillis();
        if (registration.isEnded()) {
            return;
        }
        writer.tick(nowMillis);
        sync.tick(nowMillis);
        registration.tick(nowMillis);
        granteeMonitor.tick(nowMillis);
        if (registration.isJoined()) {
            deadMemberDetector.tick(nowMillis);
            silentMemberDetector.tick(nowMillis);
            handover.tick(nowMillis);
            if (!leave.isActive()) {
                planner.tick(nowMillis);
                balancer.tick(nowMillis);
            }
        }
        leave.tick(nowMillis);
    }

    /** Tells whether this member has joined and its view contains what it took over when it did. */
    public boolean knowsOwnSlices() {
        return registration.isJoined() && view().replica().version() >= registration.joinedRevision();
    }

    /** Answers a renewal or probe. */
    public PeerMessenger.RenewalReply onRenewal(PeerMessenger.Renewal renewal) {
        return granteeMonitor.onRenewal(renewal);
    }

    /** Answers an exchange of changes. */
    public PeerMessenger.Gossip onGossip(PeerMessenger.Gossip gossip) {
        return sync.onGossip(gossip);
    }

    /** Returns how busy this member's target of a service is. */
    public Optional<TargetUsage> usage(ServiceName service) {
        return balancer.usage(service);
    }

    /** Starts handing slices over, if they are this member's. */
    public void onRelease(PeerMessenger.Release release) {
        if (registration.isJoined()) {
            releases.start(release);
        }
    }

    /** Announces other backend servers. */
    public void setTargets(List<TargetAnnouncement> targets) {
        registration.setTargets(targets);
    }

    /** Tells whether this member owns no slice of a service and is not handing any over. */
    public boolean hasHandedOver(ServiceName service) {
        return handover.isFinished(service);
    }

    /**
     * Gives the lease up until it is renewed, because the machine was suspended for a time that the monotonic clock
     * did not count.
     */
    public void onSuspended() {
        if (registration.isJoined()) {
            registration.invalidateLease();
        }
    }

    /** Takes over a configuration unless a newer one is known; it spreads with the changes of the table. */
    public void onConfiguration(ConfigurationText configuration) {
        sync.acceptConfiguration(configuration);
    }

    /** Starts to leave. */
    public void leave() {
        leave.start();
    }

    /** Tells that no call is in progress any more, so that a leaving member may end. */
    public void onTrafficIdle() {
        leave.onTrafficIdle();
    }

    /** Asks the table for changes at once. */
    public void refresh() {
        sync.refresh();
    }

    /**
     * Writes a transaction that does not concern ownership.
     *
     * @param transaction what to write
     * @param onOutcome receives the outcome once it is known
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
            }
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
