package org.siskindyke.kernel.membership;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;

/**
 * The table row of one member.
 *
 * @param id the member
 * @param instance the instance it runs on
 * @param failureDomain the instance's failure domain
 * @param address where it listens
 * @param state its state according to the table
 * @param epoch incremented with each change of grantor; a grant is valid only for its epoch
 * @param grantor the only member that may renew its lease, or {@link MemberId#TABLE}
 * @param targets the backend servers beside it
 * @param process its process; null if the host does not provide the data
 * @param declaredBy the member that wrote the state {@code DEAD}; null in other states
 * @param departures backend servers of this and earlier processes of the instance that have left or are leaving, the
 *     latest last
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
        MemberId declaredBy,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<TargetDeparture> departures) {
    /** Copies the lists; null becomes an empty list. */
    public MemberRow {
        targets = targets == null ? List.of() : List.copyOf(targets);
        departures = departures == null ? List.of() : List.copyOf(departures);
    }

    /** Returns the row with another grantor and the next epoch. */
    public MemberRow withGrantor(MemberId newGrantor) {
        return new MemberRow(
                id,
                instance,
                failureDomain,
                address,
                state,
                epoch + 1,
                newGrantor,
                targets,
                process,
                declaredBy,
                departures);
    }

    /** Returns the row in another state; {@code writer} is recorded only for {@code DEAD}. */
    public MemberRow withState(MemberState newState, MemberId writer) {
        MemberId newDeclaredBy = newState == MemberState.DEAD ? writer : null;
        return new MemberRow(
                id,
                instance,
                failureDomain,
                address,
                newState,
                epoch,
                grantor,
                targets,
                process,
                newDeclaredBy,
                departures);
    }

    /** Returns the row with other backend servers and departures. */
    public MemberRow withTargets(List<TargetAnnouncement> newTargets, List<TargetDeparture> newDepartures) {
        return new MemberRow(
                id,
                instance,
                failureDomain,
                address,
                state,
                epoch,
                grantor,
                newTargets,
                process,
                declaredBy,
                newDepartures);
    }

    /** Returns whether the member may have a lease and therefore needs a grantor. */
    public boolean mayServe() {
        return state != MemberState.DEAD;
    }

    /** Returns whether the member has a backend server of the service that accepts new work. */
    public boolean acceptsWorkOf(ServiceName service) {
        return targetOf(service).filter(TargetAnnouncement::accepting).isPresent();
    }

    /** Returns the backend server of a service beside this member; empty if there is none. */
    public Optional<TargetAnnouncement> targetOf(ServiceName service) {
        return targets.stream().filter(t -> t.service().equals(service)).findFirst();
    }
}
