package org.siskindyke.kernel.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReferenceArray;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

/**
 * Maps slices to owners. The control thread updates single entries; any thread reads them.
 *
 * <p>Holdings may be applied in any order: of two entries for a slice the higher generation stands.
 */
public final class OwnershipMap {
    private final Map<ServiceName, AtomicReferenceArray<SliceOwner>> services = new ConcurrentHashMap<>();

    /**
     * Makes room for the slices of a service.
     *
     * @param service the service
     * @param slices how many slices its keys are divided into
     */
    public void addService(ServiceName service, int slices) {
        services.computeIfAbsent(service, s -> new AtomicReferenceArray<>(slices));
    }

    /** Returns the number of slices of a service, 0 where it is not known. */
    public int sliceCount(ServiceName service) {
        AtomicReferenceArray<SliceOwner> owners = services.get(service);
        return owners == null ? 0 : owners.length();
    }

    /** Returns the owner of a slice. */
    public Optional<SliceOwner> owner(SliceRef slice) {
        AtomicReferenceArray<SliceOwner> owners = services.get(slice.service());
        if (owners == null || slice.index() < 0 || slice.index() >= owners.length()) {
            return Optional.empty();
        }
        return Optional.ofNullable(owners.get(slice.index()));
    }

    /**
     * Takes over a holding.
     *
     * @param holding the holding
     * @param nowMillis the present, from which settling counts
     * @return how many slices changed owner by it
     */
    public int apply(SliceOwnershipRow holding, long nowMillis) {
        AtomicReferenceArray<SliceOwner> owners = services.get(holding.service());
        if (owners == null) {
            return 0;
        }
        int changed = 0;
        for (OwnedSlice slice : holding.slices()) {
            changed += put(owners, holding, slice, nowMillis) ? 1 : 0;
        }
        return changed;
    }

    private static boolean put(
            AtomicReferenceArray<SliceOwner> owners, SliceOwnershipRow holding, OwnedSlice slice, long nowMillis) {
        SliceOwner known = owners.get(slice.index());
        if (known != null && known.generation() >= slice.generation()) {
            checkSameOwner(known, holding, slice);
            return false;
        }
        owners.set(
                slice.index(), new SliceOwner(holding.member(), slice.generation(), nowMillis + slice.settleMillis()));
        return true;
    }

    private static void checkSameOwner(SliceOwner known, SliceOwnershipRow holding, OwnedSlice slice) {
        boolean same = known.member() == null
                ? holding.member() == null
                : known.member().equals(holding.member());
        if (known.generation() == slice.generation() && !same) {
            throw new SiskindykeException(
                    ErrorCode.INVARIANT_VIOLATED,
                    "slice " + holding.service() + "/" + slice.index() + " has two owners in generation "
                            + slice.generation() + ": " + known.member() + " and " + holding.member());
        }
    }

    /** Counts the slices of a service by owner; slices without an owner are not counted. */
    public Map<MemberId, Integer> countByOwner(ServiceName service) {
        Map<MemberId, Integer> counts = new HashMap<>();
        AtomicReferenceArray<SliceOwner> owners = services.get(service);
        for (int i = 0; owners != null && i < owners.length(); i++) {
            SliceOwner owner = owners.get(i);
            if (owner != null && owner.member() != null) {
                counts.merge(owner.member(), 1, Integer::sum);
            }
        }
        return counts;
    }
}
