package org.siskindyke.kernel.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.hash.Hashing;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;

/**
 * An order of the members by hash, in which each looks for its grantor among those that follow.
 *
 * <p>Immutable. A member prefers the nearest that follows it in another failure domain, so that the loss of one domain
 * takes no member together with its grantor. Since all look in one direction, members that grant each other in a circle
 * span the whole ring, unless almost none are left.
 */
public final class GrantorRing {
    private final List<MemberRow> members;
    private final Map<MemberId, Integer> positions = new HashMap<>();

    private GrantorRing(List<MemberRow> order) {
        this.members = order;
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
        List<MemberRow> order = new ArrayList<>(members);
        order.sort(Comparator.comparingLong((MemberRow m) -> hash(m.id())).thenComparing(MemberRow::id));
        return new GrantorRing(order);
    }

    /** Returns the members in ring order. */
    public List<MemberRow> members() {
        return members;
    }

    /**
     * Returns who should be a member's grantor, best first: the nearest of another failure domain, then the nearest of
     * its own, and last those whose own grantor the member is.
     *
     * @param member a member on the ring, or one that is about to join it
     * @param domain the member's failure domain
     * @param count at most this many
     * @return candidates
     */
    public List<MemberRow> candidates(MemberId member, FailureDomain domain, int count) {
        List<MemberRow> others = new ArrayList<>();
        List<MemberRow> neighbours = new ArrayList<>();
        List<MemberRow> mutual = new ArrayList<>();
        int start = positionOf(member);
        for (int i = 0; i < members.size() && others.size() < count; i++) {
            MemberRow candidate = members.get((start + i) % members.size());
            if (candidate.id().equals(member)) {
                continue;
            }
            boolean grantsBack = candidate.grantor().equals(member);
            boolean sameDomain = candidate.failureDomain().equals(domain);
            (grantsBack ? mutual : sameDomain ? neighbours : others).add(candidate);
        }
        others.addAll(neighbours);
        others.addAll(mutual);
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
            return members.size();
        }
        int start = positionOf(from);
        int first = positions.containsKey(from) ? start + 1 : start;
        return Math.floorMod(end - first, members.size());
    }

    /** Returns the position of a member, or of the first that follows it where it is not on the ring. */
    private int positionOf(MemberId member) {
        Integer known = positions.get(member);
        if (known != null) {
            return known;
        }
        long hash = hash(member);
        int low = 0;
        int high = members.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (hash(members.get(middle).id()) < hash) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private static long hash(MemberId member) {
        return Hashing.murmur3_128()
                .hashString(member.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
