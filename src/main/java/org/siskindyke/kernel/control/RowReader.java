package org.siskindyke.kernel.control;

import java.util.function.ToIntFunction;

import com.google.common.net.InetAddresses;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.SuspectRow;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.membership.TargetDeparture;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;

/**
 * Checks the replicated rows before anything relies on them, since other programs can write to the table, too. A row
 * that passes has all fields that its kind requires, within their ranges, and is the one that its path names.
 */
final class RowReader {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLICES = 65_536;
    private static final int MAX_HANDOVER_LENGTH = 256;
    /** Room for a million eras of a million changes of owner; a fencing token has ten further bits. */
    private static final long MAX_GENERATION = 1L << 42;

    private static final long MAX_SETTLE_MILLIS = 3_600_000;
    private static final long MAX_EPOCH = 1L << 42;

    private RowReader() {}

    /**
     * Checks a row that exists; of a kind that is not replicated, nothing is checked.
     *
     * @param sliceCount returns the number of slices of a service, 0 where that is not known yet
     * @throws SiskindykeException with code {@code CORRUPT_ROW} where the row is not readable
     */
    static void check(Row row, ToIntFunction<ServiceName> sliceCount) {
        try {
            if (row.path().isIn(RowPath.MEMBERS)) {
                checkMember(row);
            } else if (row.path().isIn(RowPath.SLICE_OWNERSHIPS)) {
                checkOwnership(row, sliceCount);
            } else if (row.path().isIn(RowPath.DOCUMENTS)) {
                checkDocument(row);
            } else if (row.path().isIn(RowPath.SUSPECTS)) {
                checkSuspect(row);
            }
        } catch (SiskindykeException e) {
            throw new SiskindykeException(ErrorCode.CORRUPT_ROW, e.getMessage(), e);
        }
    }

    private static void checkMember(Row row) {
        MemberRow member = RowCodec.decode(row, MemberRow.class);
        require(member.id() != null && member.id().value().equals(row.path().lastSegment()), "id", row);
        require(member.instance() != null, "instance", row);
        require(member.failureDomain() != null, "failureDomain", row);
        require(member.state() != null, "state", row);
        require(member.grantor() != null, "grantor", row);
        require(isWithin(member.epoch(), 0, MAX_EPOCH), "epoch", row);
        require(isAddress(member.address()), "address", row);
        require(member.targets().stream().allMatch(RowReader::isTarget), "targets", row);
        require(member.departures().stream().allMatch(RowReader::isDeparture), "departures", row);
    }

    private static boolean isAddress(MemberAddress address) {
        return address != null
                && isHost(address.host())
                && isWithin(address.peerPort(), 1, MAX_PORT)
                && isWithin(address.callerPort(), 0, MAX_PORT)
                && isWithin(address.adminPort(), 0, MAX_PORT);
    }

    /** Returns whether a host is an IP address; any other would have to be looked up. */
    private static boolean isHost(String host) {
        return host != null && InetAddresses.isInetAddress(host);
    }

    private static boolean isTarget(TargetAnnouncement target) {
        return target.service() != null
                && target.target() != null
                && isHost(target.host())
                && isWithin(target.port(), 0, MAX_PORT);
    }

    private static boolean isDeparture(TargetDeparture departure) {
        return departure.target() != null && isWithin(departure.startMillis(), 0, NumberField.MAX_EXACT);
    }

    private static void checkOwnership(Row row, ToIntFunction<ServiceName> sliceCount) {
        SliceOwnershipRow ownership = RowCodec.decode(row, SliceOwnershipRow.class);
        require(ownership.service() != null, "service", row);
        require(ownership.path().equals(row.path()), "service or member", row);
        int slices = sliceCount.applyAsInt(ownership.service());
        int maxIndex = (slices == 0 ? MAX_SLICES : slices) - 1;
        require(ownership.slices().stream().allMatch(slice -> isSlice(slice, maxIndex)), "slices", row);
    }

    private static boolean isSlice(OwnedSlice slice, int maxIndex) {
        return slice != null
                && isWithin(slice.index(), 0, maxIndex)
                && isWithin(slice.count(), 1, maxIndex + 1L - slice.index())
                && isWithin(slice.generation(), 0, MAX_GENERATION)
                && isWithin(slice.settleMillis(), 0, MAX_SETTLE_MILLIS)
                && (slice.handover() == null || slice.handover().length() <= MAX_HANDOVER_LENGTH);
    }

    private static void checkDocument(Row row) {
        DocumentRow accepted = RowCodec.decode(row, DocumentRow.class);
        ServiceName service = ServiceName.of(row.path().lastSegment());
        require(
                accepted.document() != null
                        && service.equals(accepted.document().service()),
                "document",
                row);
        require(accepted.document().hasRequiredFields(), "document", row);
        require(accepted.number() >= 0, "number", row);
    }

    private static void checkSuspect(Row row) {
        RequestFingerprint.parse(row.path().lastSegment());
        SuspectRow suspect = RowCodec.decode(row, SuspectRow.class);
        boolean complete = suspect.crashes().stream()
                .allMatch(crash -> crash.target() != null && crash.target().target() != null && crash.caller() != null);
        require(complete, "crashes", row);
    }

    private static boolean isWithin(long value, long min, long max) {
        return value >= min && value <= max;
    }

    private static void require(boolean condition, String field, Row row) {
        if (!condition) {
            throw new SiskindykeException(
                    ErrorCode.CORRUPT_ROW, "row " + row.path() + ": field " + field + " is missing or malformed");
        }
    }
}
