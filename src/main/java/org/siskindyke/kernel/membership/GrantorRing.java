package org.siskindyke.kernel.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.hash.Hashing;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;

/**
 * An order of the members in which failure domains alternate, so that the loss of one domain takes no neighbours.
 *
 * <p>Immutable. Members of a domain are spread evenly over the ring in the order of their hash.
 */
public final class GrantorRing {
    private final List<MemberRow> order;
    private final Map<MemberId, Integer> positions;

    private GrantorRing(List<MemberRow> order) {
        this.order = order;
        this.positions = new HashMap<>();
        for (int i = 0; i < order.size(); i++) {
            positions.put(order.get(i).id(), i);
        }
    }

    /**
     * Builds the ring.
     *
     * @param members the members on it
     * @return the ring
     */
    public static GrantorRing of(Collection<MemberRow> members) {
        Map<FailureDomain, List<MemberRow>> domains = new TreeMap<>();
        for (MemberRow member : members) {
            domains.computeIfAbsent(member.failureDomain(), d -> new ArrayList<>())
                    .add(member);
        }
        List<Placed> placed = new ArrayList<>(members.size());
        for (List<MemberRow> domain : domains.values()) {
            domain.sort(Comparator.comparingLong((MemberRow m) -> hash(m.id())).thenComparing(MemberRow::id));
            for (int i = 0; i < domain.size(); i++) {
                placed.add(new Placed((i + 0.5) / domain.size(), domain.get(i)));
            }
        }
        placed.sort(Comparator.comparingDouble(Placed::position));
        return new GrantorRing(placed.stream().map(Placed::member).toList());
    }

    /** Returns the members in ring order. */
    public List<MemberRow> order() {
        return order;
    }

    /**
     * Returns the members that follow a member.
     *
     * @param member a member on the ring, or one that is about to join it
     * @param domain the member's failure domain
     * @param count at most this many
     * @return successors; those of other failure domains first, in ring order
     */
    public List<MemberRow> successors(MemberId member, FailureDomain domain, int count) {
        List<MemberRow> others = new ArrayList<>();
        List<MemberRow> neighbours = new ArrayList<>();
        int start = positions.getOrDefault(member, startFor(member));
        for (int i = 1; i <= order.size() && others.size() < count; i++) {
            MemberRow candidate = order.get((start + i) % order.size());
            if (candidate.id().equals(member)) {
                continue;
            }
            (candidate.failureDomain().equals(domain) ? neighbours : others).add(candidate);
        }
        others.addAll(neighbours);
        return others.subList(0, Math.min(count, others.size()));
    }

    /**
     * Returns how many members on the ring lie between one and another.
     *
     * @param from where counting starts; need not be on the ring
     * @param to the member looked for
     * @return 0 for the direct successor
     */
    public int distance(MemberId from, MemberId to) {
        Integer end = positions.get(to);
        if (end == null) {
            return order.size();
        }
        int start = positions.getOrDefault(from, startFor(from));
        return Math.floorMod(end - start - 1, order.size());
    }

    private int startFor(MemberId absent) {
        return order.isEmpty() ? 0 : (int) Math.floorMod(hash(absent), (long) order.size());
    }

    private static long hash(MemberId member) {
        return Hashing.murmur3_128()
                .hashString(member.value(), StandardCharsets.UTF_8)
                .asLong();
    }

    private record Placed(double position, MemberRow member) {}
}
