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
    private final HolderDuty holder;
    private final GrantorDuty grantor;
    private final DeathDuty deaths;
    private final SilenceDuty silence;
    private final ReleaseDuty releases;
    private final PlannerDuty planner;
    private final BalanceDuty balance;
    private final HandoverDuty handover;
    private final LeaveDuty leave;

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
        this.holder = new HolderDuty(context, sync, writer, template, lease);
        this.deaths = new DeathDuty(context, sync, writer);
        this.grantor = new GrantorDuty(context, sync, holder, deaths, leaseGrantor);
        this.silence = new SilenceDuty(context, deaths);
        sync.observeGossip(silence::onGossipSent, silence::onGossipAnswered);
        this.releases = new ReleaseDuty(context, sync, writer, traffic);
        this.planner = new PlannerDuty(context, sync, writer, holder);
        this.balance = new BalanceDuty(context, holder, releases, loads, policy);
        this.handover = new HandoverDuty(context, holder, releases);
        this.leave = new LeaveDuty(context, holder, grantor, handover, writer);
    }

    /**
     * Lets this member declare a predecessor of its instance dead when it joins.
     *
     * @param finder finds a member of the same instance whose process has provably ended
     */
    public void setPredecessorFinder(Function<ClusterView, Optional<MemberRow>> finder) {
        holder.setPredecessor(finder::apply);
    }

    /** Returns what this member knows of the table. */
    public ClusterView view() {
        return context.view();
    }

    /** Returns this member's lease. */
    public HolderLease lease() {
        return holder.lease();
    }

    /** Returns this member's row as last committed. */
    public MemberRow row() {
        return holder.row();
    }

    /** Tells whether the member's row is in the table and it has not ended. */
    public boolean isJoined() {
        return holder.isJoined();
    }

    /** Tells whether the member has ended. */
    public boolean isEnded() {
        return holder.isEnded();
    }

    /** Returns the number of members that renew their lease here. */
    public int granteeCount() {
        return grantor.chargeCount();
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
        if (holder.isEnded()) {
            return;
        }
        writer.tick(nowMillis);
        sync.tick(nowMillis);
        holder.tick(nowMillis);
        grantor.tick(nowMillis);
        if (holder.isJoined()) {
            deaths.tick(nowMillis);
            silence.tick(nowMillis);
            handover.tick(nowMillis);
            if (!leave.isActive()) {
                planner.tick(nowMillis);
                balance.tick(nowMillis);
            }
        }
        leave.tick(nowMillis);
    }

    /** Tells whether this member has joined and its view contains what it took over when it did. */
    public boolean knowsOwnSlices() {
        return holder.isJoined() && view().replica().version() >= holder.joinedRevision();
    }

    /** Answers a renewal or probe. */
    public PeerMessenger.RenewalReply onRenewal(PeerMessenger.Renewal renewal) {
        return grantor.onRenewal(renewal);
    }

    /** Answers an exchange of changes. */
    public PeerMessenger.Gossip onGossip(PeerMessenger.Gossip gossip) {
        return sync.onGossip(gossip);
    }

    /** Returns how busy this member's target of a service is. */
    public Optional<TargetUsage> usage(ServiceName service) {
        return balance.usage(service);
    }

    /** Starts handing slices over, if they are this member's. */
    public void onRelease(PeerMessenger.Release release) {
        if (holder.isJoined()) {
            releases.start(release);
        }
    }

    /** Announces other backend servers. */
    public void setTargets(List<TargetAnnouncement> targets) {
        holder.setTargets(targets);
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
        if (holder.isJoined()) {
            holder.forfeitLease();
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
            holder.onOwnRow(member);
        } else {
            grantor.onMemberRow(member, nowMillis);
            deaths.onMemberRow(member, nowMillis);
            silence.onMemberRow(member);
        }
    }
}
