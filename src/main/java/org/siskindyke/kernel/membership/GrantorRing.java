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
 * A ring of members, ordered by hash, on which each member chooses its grantor among its successors.
 *
 * <p>Immutable. A member prefers the nearest successor in another failure domain, so that the loss of one domain does
 * not take a member together with its grantor. All members choose in the same direction, so a cycle of members that
 * grant each other spans the whole ring, unless almost no members are left. If all members of a cycle are lost at once,
 * no grantor is left to declare them dead.
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
     * Builds the ring of the given members.
     *
     * @param members the members on the ring, in any order
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
     * Returns candidates for a member's grantor, best first: the nearest successors in other failure domains, then
     * those in its own, and last the members that have this member as their grantor.
     *
     * @param member a member on the ring, or one that is about to join it
     * @param domain the member's failure domain
     * @param maxCount maximum number of candidates
     * @return the candidates, fewer than {@code maxCount} if the ring has no more
     */
    public List<MemberRow> candidates(MemberId member, FailureDomain domain, int maxCount) {
        List<MemberRow> candidates = new ArrayList<>();
        List<MemberRow> sameDomainMembers = new ArrayList<>();
        List<MemberRow> grantees = new ArrayList<>();
        int start = positionOf(member);
        for (int i = 0; i < members.size() && candidates.size() < maxCount; i++) {
            MemberRow candidate = members.get((start + i) % members.size());
            if (candidate.id().equals(member)) {
                continue;
            }
            boolean isGrantee = candidate.grantor().equals(member);
            boolean isSameDomain = candidate.failureDomain().equals(domain);
            (isGrantee ? grantees : isSameDomain ? sameDomainMembers : candidates).add(candidate);
        }
        candidates.addAll(sameDomainMembers);
        candidates.addAll(grantees);
        return candidates.subList(0, Math.min(maxCount, candidates.size()));
    }

    /**
     * Returns the number of members on the ring between one member and another.
     *
     * @param from where counting starts; need not be on the ring
     * @param to where counting ends
     * @return 0 for the direct successor; the size of the ring if {@code to} is not on it
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

    /** Returns the position of a member, or the position at which it would be inserted if it is not on the ring. */
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
