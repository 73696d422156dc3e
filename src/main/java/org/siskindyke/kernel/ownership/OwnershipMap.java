package org.siskindyke.kernel.ownership;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
 * <p>Rows may be applied in any order: of two entries for a slice, the one of the higher generation is kept.
 */
public final class OwnershipMap {
    private final Map<ServiceName, AtomicReferenceArray<SliceOwner>> services = new ConcurrentHashMap<>();

    /**
     * Adds a service whose slices have no known owners yet. Does nothing if the service is known.
     *
     * @param service the service
     * @param sliceCount number of slices that its keys are divided into
     */
    public void addService(ServiceName service, int sliceCount) {
        services.computeIfAbsent(service, s -> new AtomicReferenceArray<>(sliceCount));
    }

    /** Returns the number of slices of a service; 0 if the service is unknown. */
    public int sliceCount(ServiceName service) {
        AtomicReferenceArray<SliceOwner> owners = services.get(service);
        return owners == null ? 0 : owners.length();
    }

    /** Returns the ownership of a slice; empty if the slice is unknown or no row that lists it was applied. */
    public Optional<SliceOwner> owner(SliceRef slice) {
        AtomicReferenceArray<SliceOwner> owners = services.get(slice.service());
        if (owners == null || slice.index() < 0 || slice.index() >= owners.length()) {
            return Optional.empty();
        }
        return Optional.ofNullable(owners.get(slice.index()));
    }

    /**
     * Applies a row. Does nothing if its service is unknown.
     *
     * @param row the row
     * @param nowMillis the current time, from which {@link OwnedSlice#settleMillis} counts
     * @return number of slices for which the row has a higher generation than was known
     * @throws SiskindykeException with code {@code CORRUPT_ROW} if the row lists a slice that the service does not have
     *     or {@code INVARIANT_VIOLATED} if a slice has two owners in one generation
     */
    public int apply(SliceOwnershipRow row, long nowMillis) {
        AtomicReferenceArray<SliceOwner> owners = services.get(row.service());
        if (owners == null) {
            return 0;
        }
        checkIndexes(row, owners.length());
        int changed = 0;
        for (OwnedSlice slice : row.slices()) {
            changed += putIfNewer(owners, row, slice, nowMillis);
        }
        return changed;
    }

    private static void checkIndexes(SliceOwnershipRow row, int sliceCount) {
        if (row.slices().stream().anyMatch(slice -> slice.end() > sliceCount)) {
            throw new SiskindykeException(
                    ErrorCode.CORRUPT_ROW, "row " + row.path() + " lists a slice that the service does not have");
        }
    }

    /** Records the owner of those slices of a run that are known in lower generations only; returns their number. */
    private static int putIfNewer(
            AtomicReferenceArray<SliceOwner> owners, SliceOwnershipRow row, OwnedSlice run, long nowMillis) {
        SliceOwner owner = new SliceOwner(row.member(), run.generation(), nowMillis + run.settleMillis());
        SliceOwner checked = null;
        int changed = 0;
        for (int index = run.index(); index < run.end(); index++) {
            SliceOwner known = owners.get(index);
            if (known != null && known == checked) {
                continue;
            }
            if (known == null || known.generation() < run.generation()) {
                owners.set(index, owner);
                changed++;
            } else {
                checkSameOwner(known, row, run, index);
                checked = known;
            }
        }
        return changed;
    }

    private static void checkSameOwner(SliceOwner known, SliceOwnershipRow row, OwnedSlice slice, int index) {
        boolean same =
                known.member() == null ? row.member() == null : known.member().equals(row.member());
        if (known.generation() == slice.generation() && !same) {
            throw new SiskindykeException(
                    ErrorCode.INVARIANT_VIOLATED,
                    "slice " + row.service() + "/" + index + " has two owners in generation " + slice.generation()
                            + ": " + known.member() + " and " + row.member());
        }
    }

    /**
     * Returns the parts of runs of a member's row that no row of another member lists in a later generation.
     *
     * @param service the service
     * @param member the member; null for the row of the slices without an owner
     * @param runs the runs that the row lists
     */
    public List<OwnedSlice> withoutSuperseded(ServiceName service, MemberId member, List<OwnedSlice> runs) {
        AtomicReferenceArray<SliceOwner> owners = services.get(service);
        BitSet superseded = new BitSet();
        for (OwnedSlice run : runs) {
            for (int index = run.index(); owners != null && index < Math.min(run.end(), owners.length()); index++) {
                SliceOwner owner = owners.get(index);
                if (owner != null && owner.generation() > run.generation() && !Objects.equals(member, owner.member())) {
                    superseded.set(index);
                }
            }
        }
        return superseded.isEmpty() ? runs : SliceRuns.except(runs, superseded);
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
