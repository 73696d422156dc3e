package org.siskindyke.kernel.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;

/**
 * The members according to the rows of the {@link org.siskindyke.kernel.table.TableReplica}. Written by the control
 * thread; read by any thread unless noted.
 */
public final class MemberDirectory {
    private final Map<MemberId, MemberRow> serving = new ConcurrentHashMap<>();
    private final Map<MemberId, MemberRow> dead = new ConcurrentHashMap<>();
    private final Map<MemberId, Long> revisions = new ConcurrentHashMap<>();
    private final Map<ServiceName, List<MemberRow>> acceptingByService = new ConcurrentHashMap<>();
    private final Map<MemberId, Set<MemberId>> granteesByGrantor = new HashMap<>();
    private volatile Set<FailureDomain> evacuated = Set.of();
    private GrantorRing ring;
    private long changeCount;

    /**
     * Applies a member row.
     *
     * @param row the row, possibly deleted
     * @return the member; empty for a deleted row
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code CORRUPT_ROW} if the row is malformed
     */
    public Optional<MemberRow> apply(Row row) {
        MemberId id = MemberId.of(row.path().lastSegment());
        ring = null;
        changeCount++;
        revisions.put(id, row.revision());
        MemberRow before = serving.get(id);
        if (before != null) {
            granteesByGrantor.getOrDefault(before.grantor(), Set.of()).remove(id);
        }
        if (row.deleted()) {
            serving.remove(id);
            dead.remove(id);
            revisions.remove(id);
            index(before, null);
            return Optional.empty();
        }
        MemberRow member = RowCodec.decode(row, MemberRow.class);
        index(before, member);
        if (member.mayServe()) {
            serving.put(id, member);
            granteesByGrantor
                    .computeIfAbsent(member.grantor(), g -> new TreeSet<>())
                    .add(id);
        } else {
            serving.remove(id);
            dead.put(id, member);
        }
        return Optional.of(member);
    }

    /** Returns a member; empty if it is dead or unknown. */
    public Optional<MemberRow> serving(MemberId id) {
        return Optional.ofNullable(serving.get(id));
    }

    /** Returns all members that are not dead. */
    public Collection<MemberRow> serving() {
        return serving.values();
    }

    /** Returns the dead members whose rows still exist. */
    public Collection<MemberRow> dead() {
        return dead.values();
    }

    /** Returns the departures that the rows of an instance record, of its present process and of earlier ones. */
    public Set<TargetDeparture> departures(InstanceName instance, MemberAddress address) {
        return Stream.concat(dead.values().stream(), serving.values().stream())
                .filter(m -> m.instance().equals(instance) && m.address().equals(address))
                .sorted(Comparator.comparing(m -> m.id()))
                .flatMap(m -> m.departures().stream())
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Returns whether a member is dead according to its row. */
    public boolean isDead(MemberId id) {
        return dead.containsKey(id);
    }

    /** Returns the revision of a member's row; 0 if the row is unknown. */
    public long revision(MemberId id) {
        return revisions.getOrDefault(id, 0L);
    }

    /** Replaces the evacuated failure domains, whose backend servers accept no new work. */
    public void setEvacuated(Set<FailureDomain> domains) {
        evacuated = Set.copyOf(domains);
        Set<ServiceName> services = new HashSet<>(acceptingByService.keySet());
        for (ServiceName service : services) {
            acceptingByService.put(
                    service,
                    serving.values().stream()
                            .filter(member -> isAccepting(member, service))
                            .toList());
        }
    }

    /** Returns whether a failure domain is evacuated. */
    public boolean isEvacuated(FailureDomain domain) {
        return evacuated.contains(domain);
    }

    private boolean isAccepting(MemberRow member, ServiceName service) {
        return member.state() == MemberState.ALIVE
                && member.acceptsWorkOf(service)
                && !evacuated.contains(member.failureDomain());
    }

    /** Returns the members in state {@code ALIVE} with a backend server of the service that accepts new work. */
    public List<MemberRow> acceptingMembers(ServiceName service) {
        return acceptingByService.getOrDefault(service, List.of());
    }

    private void index(MemberRow before, MemberRow after) {
        Set<ServiceName> services = new HashSet<>();
        Stream.of(before, after)
                .filter(Objects::nonNull)
                .flatMap(m -> m.targets().stream())
                .forEach(t -> services.add(t.service()));
        services.forEach(service -> replaceAccepting(service, before, after));
    }

    private void replaceAccepting(ServiceName service, MemberRow before, MemberRow after) {
        List<MemberRow> accepting = new ArrayList<>(acceptingMembers(service));
        accepting.removeIf(m -> before != null && m.id().equals(before.id()));
        if (after != null && isAccepting(after, service)) {
            accepting.add(after);
        }
        acceptingByService.put(service, List.copyOf(accepting));
    }

    /** Returns the members that are not dead and whose rows name the grantor; for the control thread only. */
    public List<MemberId> granteesOf(MemberId grantor) {
        return List.copyOf(granteesByGrantor.getOrDefault(grantor, Set.of()));
    }

    /** Returns the number of rows applied so far; for the control thread only. */
    public long changeCount() {
        return changeCount;
    }

    /** Returns the ring of the members in state {@code ALIVE}, which accept grantees; for the control thread only. */
    public GrantorRing ring() {
        if (ring == null) {
            ring = GrantorRing.of(serving.values().stream()
                    .filter(m -> m.state() == MemberState.ALIVE)
                    .toList());
        }
        return ring;
    }
}
