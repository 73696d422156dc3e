package org.siskindyke.kernel.control;

import java.util.List;
import java.util.function.Consumer;

import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.crash.SuspectDigest;
import org.siskindyke.kernel.crash.SuspectReport;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.place.EvacuationOrder;
import org.siskindyke.kernel.table.TableChanges;

/**
 * Sends control messages to other members. All methods return at once and are called on the control thread, as are the
 * callbacks. A callback does not run where no reply arrives; failures are not reported.
 */
public interface PeerMessenger {
    /**
     * A request to a grantor to renew a lease, or a probe of whether a member is willing to be grantor.
     *
     * @param member the member that requests the renewal
     * @param epoch the epoch of its row; 0 for a probe
     * @param sequence number of the renewal; 0 for a probe
     * @param probe whether this is a probe
     */
    record Renewal(MemberId member, long epoch, long sequence, boolean probe) {}

    /**
     * The reply to a renewal or probe.
     *
     * @param sequence number of the renewal
     * @param decision the grantor's decision
     * @param leaseMillis duration of the lease from the moment the renewal was sent; only valid if it was granted
     */
    record RenewalReply(long sequence, GrantDecision decision, long leaseMillis) {}

    /**
     * A gossip message: what one member knows of the table, with changes that its peer lacks.
     *
     * @param member the sender
     * @param tableVersion the version up to which the sender knows all changes
     * @param changes changes that the sender believes the receiver lacks; may be empty
     * @param configurationRevision revision of the configuration that the sender knows
     * @param configuration the configuration if the sender believes that the receiver lacks it; null otherwise
     * @param suspectsDigest the {@link org.siskindyke.kernel.crash.CrashSuspects#digest} of the sender
     * @param suspects evidence against requests that the receiver may lack
     * @param tableAgeMillis how long ago the table last answered the sender, or another member as far as the sender has
     *     heard; {@link #UNKNOWN_AGE} where that is not known
     * @param evacuations all evacuation orders that the sender knows; empty from earlier versions
     */
    record Gossip(
            MemberId member,
            long tableVersion,
            TableChanges changes,
            long configurationRevision,
            ConfigurationText configuration,
            SuspectDigest suspectsDigest,
            List<SuspectReport> suspects,
            long tableAgeMillis,
            List<EvacuationOrder> evacuations) {
        /** Stands for an age that is not known; above all ages. */
        public static final long UNKNOWN_AGE = Long.MAX_VALUE;
    }

    /**
     * A request to an owner to hand slices to another member.
     *
     * @param service the service
     * @param slices indexes of the slices
     * @param newOwner the member to hand them to; null, only within this process, to leave them without an owner
     * @param reason the reason, for the log
     */
    record Release(ServiceName service, List<Integer> slices, MemberId newOwner, String reason) {}

    /** Sends a renewal or probe. */
    void renew(MemberRow to, Renewal renewal, Consumer<RenewalReply> onReply);

    /** Sends a gossip message and receives the one that the peer returns. */
    void gossip(MemberRow to, Gossip gossip, Consumer<Gossip> onReply);

    /** Requests the load of a member's backend server of a service; {@code onReply} does not run where it has none. */
    void requestUsage(MemberRow to, ServiceName service, Consumer<TargetUsage> onReply);

    /**
     * Sends a request to release slices. Members handle such requests, but no part of the state machine sends one: it
     * decides only on releases of this member's own slices.
     */
    void release(MemberRow to, Release release);
}
