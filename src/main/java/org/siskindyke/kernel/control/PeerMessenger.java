package org.siskindyke.kernel.control;

import java.util.List;
import java.util.function.Consumer;

import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.table.TableChanges;

/** Sends control messages to other routers. A reply that does not come is never reported. */
public interface PeerMessenger {
    /**
     * Asks a grantor for a renewal, or a possible grantor whether it would take the member on.
     *
     * @param member the member that asks
     * @param epoch the epoch of its row
     * @param sequence number of the renewal
     * @param probe whether only to ask for willingness
     */
    record Renewal(MemberId member, long epoch, long sequence, boolean probe) {}

    /**
     * Answers a renewal.
     *
     * @param sequence number of the renewal
     * @param decision the grantor's decision
     * @param leaseMillis duration of the lease if granted
     */
    record RenewalReply(long sequence, GrantDecision decision, long leaseMillis) {}

    /**
     * One side of an exchange of changes.
     *
     * @param member the sender
     * @param tableVersion the version up to which the sender knows all changes
     * @param changes what the sender believes the receiver lacks
     * @param configurationRevision revision of the configuration that the sender knows
     * @param configuration the configuration, where the sender believes that the receiver lacks it; else null
     */
    record Gossip(
            MemberId member,
            long tableVersion,
            TableChanges changes,
            long configurationRevision,
            ConfigurationText configuration) {}

    /**
     * Asks an owner to hand slices to another member.
     *
     * @param service the service
     * @param slices indexes of the slices
     * @param newOwner the member to hand them to
     * @param reason why, for the log
     */
    record Release(ServiceName service, List<Integer> slices, MemberId newOwner, String reason) {}

    /** Sends a renewal. */
    void renew(MemberRow to, Renewal renewal, Consumer<RenewalReply> onReply);

    /** Sends one side of an exchange and receives the other. */
    void gossip(MemberRow to, Gossip gossip, Consumer<Gossip> onReply);

    /** Asks a member how busy its target of a service is; a member without one does not answer. */
    void requestUsage(MemberRow to, ServiceName service, Consumer<TargetUsage> onReply);

    /** Sends a request to release slices. */
    void release(MemberRow to, Release release);
}
