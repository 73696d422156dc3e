package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.siskindyke.kernel.crash.CrashSuspects;
import org.siskindyke.kernel.document.DocumentCatalog;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberDirectory;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.OwnershipMap;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.ownership.SliceRuns;
import org.siskindyke.kernel.place.EvacuationOrder;
import org.siskindyke.kernel.place.EvacuationOrders;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.kernel.table.TableReplica;

/**
 * A member's copy of the table, decoded into the types that decisions are made from.
 *
 * <p>Any thread may call {@link #members}, {@link #ownership}, {@link #documents} and {@link #suspects}; the returned
 * types say what they allow. All other methods are for the control thread only.
 */
public final class ClusterView {
    private final TableReplica replica = new TableReplica();
    private final MemberDirectory members = new MemberDirectory();
    private final OwnershipMap ownership = new OwnershipMap();
    private final DocumentCatalog documents = new DocumentCatalog();
    private final CrashSuspects suspects;
    private final EvacuationOrders evacuations;
    private BiConsumer<RowPath, SiskindykeException> onIgnored = (path, cause) -> {};
    private final Map<RowPath, DecodedOwnership> decodedOwnerships = new HashMap<>();
    private final Map<ServiceName, Integer> blockSlices = new HashMap<>();
    private long noticedEra;

    private record DecodedOwnership(long revision, SliceOwnershipRow row) {}

    /** Creates an empty view without evidence against any request. */
    public ClusterView() {
        this(new CrashSuspects(), new EvacuationOrders());
    }

    /** Creates an empty view with the evidence and the orders that an earlier incarnation of this member knew. */
    public ClusterView(CrashSuspects suspects, EvacuationOrders evacuations) {
        this.suspects = suspects;
        this.evacuations = evacuations;
        members.setEvacuated(evacuations.inForce().sinceMillis().keySet());
    }

    /**
     * Sets the callback that receives each row that was left out, with the reason: {@code CORRUPT_ROW} where it is not
     * readable, {@code INVARIANT_VIOLATED} where it contradicts another one.
     */
    void observeIgnored(BiConsumer<RowPath, SiskindykeException> ignored) {
        onIgnored = ignored;
    }

    /** Returns the replicated rows, which must be used on the control thread only. */
    public TableReplica replica() {
        return replica;
    }

    /** Returns the members, living and dead. */
    public MemberDirectory members() {
        return members;
    }

    /** Returns the owners of slices. */
    public OwnershipMap ownership() {
        return ownership;
    }

    /** Returns the documents in force. */
    public DocumentCatalog documents() {
        return documents;
    }

    /** Returns the evidence against requests that may crash backend servers. */
    public CrashSuspects suspects() {
        return suspects;
    }

    /** Returns the known evacuation orders, which must be used on the control thread only. */
    public EvacuationOrders evacuations() {
        return evacuations;
    }

    /** Accepts evacuation orders; returns whether any was newer than the known ones. */
    boolean acceptEvacuations(Collection<EvacuationOrder> offered, long nowMillis) {
        boolean changed = evacuations.accept(offered, nowMillis);
        if (changed) {
            members.setEvacuated(evacuations.inForce().sinceMillis().keySet());
        }
        return changed;
    }

    /** Returns the latest {@link TableEra} that is known from rows or otherwise, see {@link #noticeEra}. */
    public long era() {
        return Math.max(noticedEra, TableEra.of(replica.version()));
    }

    /** Records that an era has begun, of which the replica may not know any row yet. */
    void noticeEra(long era) {
        noticedEra = Math.max(noticedEra, era);
    }

    /** Returns whether a member's row was written in the present era; its ownership rows were then, too. */
    public boolean isRecordedInPresentEra(MemberId member) {
        return TableEra.of(members.revision(member)) >= era();
    }

    /**
     * Returns whether a member whose row is of an earlier era has ended, although that row does not say so: another
     * process of its instance has written its row in the present era.
     */
    public boolean isReplaced(MemberRow member) {
        return !isRecordedInPresentEra(member.id())
                && members.serving().stream()
                        .anyMatch(other -> other.instance().equals(member.instance())
                                && other.address().equals(member.address())
                                && isRecordedInPresentEra(other.id()));
    }

    /** Returns the revision of a row as the replica knows it; 0 where the row was never written. */
    public long revision(RowPath path) {
        return replica.get(path).revision();
    }

    /** Returns the slices of a service that a member owns, as the replica knows them; empty where there is no row. */
    public SliceOwnershipRow ownershipRow(ServiceName service, MemberId member) {
        return ownershipRow(RowPath.sliceOwnership(service, member), service, member);
    }

    /** Returns the decoded row, which is kept until the row changes, since each tick and heartbeat needs it. */
    private SliceOwnershipRow ownershipRow(RowPath path, ServiceName service, MemberId member) {
        Row row = replica.get(path);
        DecodedOwnership decoded = decodedOwnerships.get(path);
        if (decoded == null || decoded.revision() != row.revision()) {
            decoded = new DecodedOwnership(row.revision(), SliceOwnershipRow.read(row, service, member));
            decodedOwnerships.put(path, decoded);
        }
        return decoded.row();
    }

    /**
     * Returns the slices of a service that a member owns, without those that another row lists in a later generation.
     * There are none of these unless the table has lost rows.
     */
    public List<OwnedSlice> ownedSlices(ServiceName service, MemberId member) {
        return ownership.withoutSuperseded(
                service, member, ownershipRow(service, member).slices());
    }

    /** Returns the number of slices of a member that a view knows, runs of adjacent ones counted in full. */
    int ownedCount(ServiceName service, MemberId member) {
        return SliceRuns.count(ownershipRow(service, member).slices());
    }

    /**
     * Returns the number of adjacent slices of a service that are assigned together while load does not require to
     * split them; 1 where each slice is assigned by itself.
     */
    public int blockSlices(ServiceName service) {
        return blockSlices.getOrDefault(service, 1);
    }

    /** Returns the slices of a service that have no owner, as the replica knows them; empty where there is no row. */
    public SliceOwnershipRow unassigned(ServiceName service) {
        return ownershipRow(RowPath.unassigned(service), service, null);
    }

    /**
     * Returns whether all serving members have written their rows in the present era of the table, or others have for
     * them, and this view contains all changes up to there. Only then is a slice that two rows list known as such.
     */
    public boolean isRecorded() {
        return TableEra.of(replica.version()) == era()
                && members.serving().stream().allMatch(member -> isRecorded(member) || isReplaced(member));
    }

    private boolean isRecorded(MemberRow member) {
        return isRecordedInPresentEra(member.id()) && members.revision(member.id()) <= replica.version();
    }

    /**
     * Returns the slices of a service that have no owner, without those that another row lists in a later generation.
     * There are some of these where the table was restored from a copy that is older than their present owners.
     */
    public List<OwnedSlice> unassignedSlices(ServiceName service) {
        return ownership.withoutSuperseded(service, null, unassigned(service).slices());
    }

    /**
     * Applies changes that are complete from this view's version on.
     *
     * @param changes the changes
     * @param nowMillis the current time; new owners wait out their settle times from here
     * @return the rows that were new
     */
    public List<Row> apply(TableChanges changes, long nowMillis) {
        TableChanges readable = new TableChanges(changes.upToVersion(), readable(changes.rows()));
        return interpret(replica.apply(readable), nowMillis);
    }

    /**
     * Returns the rows that may be applied. An unreadable row leaves the last readable value in force, at the revision
     * of the unreadable one, so that members can still replace it; a row that never was readable is left out.
     */
    private List<Row> readable(List<Row> rows) {
        List<Row> readable = new ArrayList<>(rows.size());
        for (Row row : rows) {
            Row known = replica.get(row.path());
            try {
                if (!row.deleted() && row.revision() > known.revision()) {
                    RowReader.check(row, ownership::sliceCount);
                }
                readable.add(row);
            } catch (SiskindykeException e) {
                onIgnored.accept(row.path(), e);
                if (!known.deleted()) {
                    readable.add(new Row(known.path(), row.revision(), known.value(), false));
                }
            }
        }
        return readable;
    }

    /**
     * Applies rows that are known to be committed; rows that are not replicated are ignored.
     *
     * @param committed the rows
     * @param nowMillis the current time
     * @return the rows that were new
     */
    public List<Row> applyRows(List<Row> committed, long nowMillis) {
        return interpret(
                replica.applyRows(readable(
                        committed.stream().filter(r -> r.path().isReplicated()).toList())),
                nowMillis);
    }

    /**
     * Accepts a document that is not stored in the table.
     *
     * @param document the document
     * @param version version of the document, which must never decrease
     * @param nowMillis the current time
     */
    public void acceptDocument(ServiceDocument document, long version, long nowMillis) {
        acceptDocument(document, 1, version, nowMillis);
    }

    /**
     * Accepts a document that is not stored in the table, of a service whose slices are assigned in blocks.
     *
     * @param document the document
     * @param sliceBlock number of adjacent slices that are assigned together; must not change
     * @param version version of the document, which must never decrease
     * @param nowMillis the current time
     */
    public void acceptDocument(ServiceDocument document, int sliceBlock, long version, long nowMillis) {
        assignInBlocks(document.service(), sliceBlock);
        documents.accept(new DocumentRow(document, version, "", 0), version);
        addSlices(document, nowMillis);
    }

    /** Sets the number of adjacent slices of a service that are assigned together. */
    void assignInBlocks(ServiceName service, int sliceBlock) {
        blockSlices.put(service, sliceBlock);
    }

    private List<Row> interpret(List<Row> rows, long nowMillis) {
        for (Row row : rows) {
            interpret(row, nowMillis);
        }
        return rows;
    }

    private void interpret(Row row, long nowMillis) {
        try {
            if (row.path().isIn(RowPath.MEMBERS)) {
                members.apply(row);
            } else if (row.path().isIn(RowPath.DOCUMENTS)) {
                documents.apply(row).ifPresent(accepted -> addSlices(accepted.document(), nowMillis));
            } else if (row.path().isIn(RowPath.SLICE_OWNERSHIPS) && !row.deleted()) {
                ownership.apply(RowCodec.decode(row, SliceOwnershipRow.class), nowMillis);
            }
        } catch (SiskindykeException e) {
            onIgnored.accept(row.path(), e);
        }
    }

    /** Adds the slices of a new service, and applies its ownership rows that were received before its document. */
    private void addSlices(ServiceDocument document, long nowMillis) {
        ServiceName service = document.service();
        if (!document.keys().divided() || ownership.sliceCount(service) > 0) {
            return;
        }
        ownership.addService(service, document.keys().slices());
        String prefix = RowPath.SLICE_OWNERSHIPS + service + "/";
        for (Row row : replica.all()) {
            if (row.path().isIn(prefix) && !row.deleted()) {
                interpret(row, nowMillis);
            }
        }
    }
}
