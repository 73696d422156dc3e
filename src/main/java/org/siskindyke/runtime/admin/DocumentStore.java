package org.siskindyke.runtime.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.siskindyke.kernel.control.CommitOutcome;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.runtime.ControlThread;

/**
 * Reads and edits service documents in the table. An edit names the revision that it started from; of two concurrent
 * edits of the same revision one is accepted and the other fails.
 */
public final class DocumentStore {
    private static final int MAX_ROWS = 1_000;
    private static final long EDIT_TIMEOUT_SECONDS = 5;

    private final ControlThread control;
    private final TableService table;
    private final Supplier<MemberController> controller;

    /**
     * Creates a store.
     *
     * @param control the control thread, on which edits are written
     * @param table the table service
     * @param controller returns the controller of the current member
     */
    public DocumentStore(ControlThread control, TableService table, Supplier<MemberController> controller) {
        this.control = control;
        this.table = table;
        this.controller = controller;
    }

    /** Reads the accepted revision of a document; fails with {@code NOT_FOUND} if the service has none. */
    public CompletionStage<DocumentRow> get(ServiceName service) {
        return table.read(RowPath.document(service)).thenApply(row -> {
            if (row.deleted()) {
                throw new SiskindykeException(ErrorCode.NOT_FOUND, "no document for service '" + service + "'");
            }
            return RowCodec.decode(row, DocumentRow.class);
        });
    }

    /** Reads the accepted revisions of all documents, at most 1,000. */
    public CompletionStage<List<DocumentRow>> list() {
        return table.list(RowPath.DOCUMENTS, MAX_ROWS).thenApply(DocumentStore::decode);
    }

    /** Reads at most 1,000 accepted revisions of a document, oldest first; empty if the service has none. */
    public CompletionStage<List<DocumentRow>> history(ServiceName service) {
        return table.list(RowPath.HISTORY + service + "/", MAX_ROWS).thenApply(rows -> {
            List<DocumentRow> revisions = new ArrayList<>(decode(rows));
            revisions.sort((a, b) -> Long.compare(a.number(), b.number()));
            return revisions;
        });
    }

    /**
     * Stores a new revision of a document.
     *
     * @param document the edited document
     * @param expectedNumber the revision that the edit started from; 0 for a new document
     * @param editor who edits, for the history
     * @return the accepted revision; fails with {@code REVISION_CONFLICT} if the document is at another revision than
     *     the expected one, with {@code INVALID_DOCUMENT} if the edit changes a fixed field, or with {@code
     *     TABLE_UNAVAILABLE} if the document cannot be read or it is not known in time whether the edit was accepted
     */
    public CompletionStage<DocumentRow> put(ServiceDocument document, long expectedNumber, String editor) {
        RowPath path = RowPath.document(document.service());
        return table.read(path).thenCompose(row -> {
            Optional<DocumentRow> before =
                    row.deleted() ? Optional.empty() : Optional.of(RowCodec.decode(row, DocumentRow.class));
            long number = before.map(DocumentRow::number).orElse(0L);
            if (number != expectedNumber) {
                throw conflict(document.service(), expectedNumber, number);
            }
            before.ifPresent(b -> checkImmutableFields(b.document(), document));
            DocumentRow next = new DocumentRow(document, number + 1, editor, System.currentTimeMillis());
            return write(next, path, row, before.isEmpty());
        });
    }

    private CompletionStage<DocumentRow> write(DocumentRow next, RowPath path, Row before, boolean isNew) {
        ServiceName service = next.document().service();
        String text = RowCodec.encode(next);
        Transaction.Builder transaction = Transaction.builder()
                .replace(path, before.deleted() ? 0 : before.revision(), text)
                .put(RowPath.history(service, next.number()), text);
        if (isNew && next.document().keys().divided()) {
            List<OwnedSlice> slices = IntStream.range(0, next.document().keys().slices())
                    .mapToObj(i -> new OwnedSlice(i, 0, 0))
                    .toList();
            transaction.replace(
                    RowPath.unassigned(service), 0, RowCodec.encode(new SliceOwnershipRow(service, null, slices)));
        }
        CompletableFuture<CommitOutcome> outcome = new CompletableFuture<>();
        control.execute(() -> controller.get().submit(transaction.build(), outcome::complete));
        return outcome.orTimeout(EDIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .handle((commitOutcome, failure) -> toAcceptedRow(next, commitOutcome, failure));
    }

    private static DocumentRow toAcceptedRow(DocumentRow next, CommitOutcome commitOutcome, Throwable failure) {
        if (failure != null) {
            throw new SiskindykeException(
                    ErrorCode.TABLE_UNAVAILABLE,
                    "the table service has not confirmed the edit, which may still be accepted; read the document "
                            + "before editing again");
        }
        if (!commitOutcome.committed()) {
            throw conflict(next.document().service(), next.number() - 1, -1);
        }
        return next;
    }

    private static void checkImmutableFields(ServiceDocument before, ServiceDocument after) {
        boolean sameDivision = before.keys().divided() == after.keys().divided()
                && before.keys().slices() == after.keys().slices();
        if (!sameDivision) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_DOCUMENT,
                    "keys: divided and slices are fixed once a service exists; keep divided="
                            + before.keys().divided() + " and slices="
                            + before.keys().slices());
        }
        if (!before.team().equals(after.team())) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_DOCUMENT, "team: the document belongs to '" + before.team() + "'; keep it");
        }
    }

    private static SiskindykeException conflict(ServiceName service, long expected, long actual) {
        String currentState = actual < 0 ? "has changed" : "is now at revision " + actual;
        return new SiskindykeException(
                ErrorCode.REVISION_CONFLICT,
                "the edit of '" + service + "' started from revision " + expected + " but the document " + currentState
                        + "; get it, merge and put it again");
    }

    private static List<DocumentRow> decode(List<Row> rows) {
        return rows.stream().map(r -> RowCodec.decode(r, DocumentRow.class)).toList();
    }
}
