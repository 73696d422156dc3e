package org.siskindyke.kernel.membership;

import java.util.List;
import java.util.Optional;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;

/**
 * The table's row about one member.
 *
 * @param id the member
 * @param instance the instance it runs on
 * @param failureDomain the instance's failure domain
 * @param address where it listens
 * @param state what the table says of it
 * @param epoch grows by one with each change of grantor; grants carry it
 * @param grantor the only member, or the table, that may renew its lease
 * @param targets the backend servers beside it
 * @param process its process, or null where the host does not tell
 * @param declaredBy who wrote the state {@code DEAD}; null before
 */
public record MemberRow(
        MemberId id,
        InstanceName instance,
        FailureDomain failureDomain,
        MemberAddress address,
        MemberState state,
        long epoch,
        MemberId grantor,
        List<TargetAnnouncement> targets,
        ProcessIdentity process,
        MemberId declaredBy) {
    /** Copies the list. */
    public MemberRow {
        targets = targets == null ? List.of() : List.copyOf(targets);
    }

    /** Returns the row with another grantor and the next epoch. */
    public MemberRow withGrantor(MemberId newGrantor) {
        return new MemberRow(
                id, instance, failureDomain, address, state, epoch + 1, newGrantor, targets, process, declaredBy);
    }

    /** Returns the row in another state. */
    public MemberRow withState(MemberState newState, MemberId writer) {
        MemberId declarer = newState == MemberState.DEAD ? writer : null;
        return new MemberRow(
                id, instance, failureDomain, address, newState, epoch, grantor, targets, process, declarer);
    }

    /** Returns the row with other backend servers. */
    public MemberRow withTargets(List<TargetAnnouncement> newTargets) {
        return new MemberRow(
                id, instance, failureDomain, address, state, epoch, grantor, newTargets, process, declaredBy);
    }

    /** Tells whether the member may hold a lease, so that it has a grantor. */
    public boolean mayServe() {
        return state != MemberState.DEAD;
    }

    /** Tells whether the member has a target of a service that takes new work. */
    public boolean acceptsWorkOf(ServiceName service) {
        return targetOf(service).filter(TargetAnnouncement::accepting).isPresent();
    }

    /** Returns the backend server of a service beside this member. */
    public Optional<TargetAnnouncement> targetOf(ServiceName service) {
        return targets.stream().filter(t -> t.service().equals(service)).findFirst();
    }
}
