package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.kernel.table.Transaction;

/**
 * Writes rows again that the table lost when it was restored, as far as this member knows them from the earlier era.
 *
 * <p>Each member writes its own rows itself ({@link MemberRegistration}), since it knows them best. Rows that belong to
 * no member, such as that of the slices without an owner, are written by whoever comes first. The rows of a member that
 * has not written them for as long as a lease lasts are written for it: it may be unable to, but go on serving under a
 * lease, of which members that start in the new era must know.
 *
 * <p>Until that time has passed, and until this member has read what is left of the rows, they are not settled: no
 * member must be declared dead and no slice given away because of what the table does not contain.
 */
final class EraRecovery {
    private static final long NO_ERA = -1;
    /** Pause between transactions that write rows again; a table that was restored serves many at once. */
    private static final long WRITE_INTERVAL_MILLIS = 200;
    /** Spreads the first of these transactions, so that most members find the rows written already. */
    private static final int JITTER_MILLIS = 500;

    private final ControlContext context;
    private final TableSync sync;
    private final TableWriter writer;
    private final MemberRegistration registration;
    private long era = NO_ERA;
    private long settledAtMillis = Long.MIN_VALUE;
    private long nextWriteMillis;
    /** Whether rows of earlier eras may be left that are not written yet. */
    private boolean recovering;

    private boolean writing;

    EraRecovery(ControlContext context, TableSync sync, TableWriter writer, MemberRegistration registration) {
        this.context = context;
        this.sync = sync;
        this.writer = writer;
        this.registration = registration;
    }

    /** Returns whether the rows of the present era are settled, as far as this member can know. */
    boolean isSettled(long nowMillis) {
        return era == context.era() && context.hasReadPresentEra() && nowMillis >= settledAtMillis;
    }

    void tick(long nowMillis) {
        if (!sync.isSynced()) {
            return;
        }
        if (context.era() > era) {
            beginEra(nowMillis);
            return;
        }
        boolean mayWrite = registration.isJoined() && context.hasReadPresentEra() && !writing;
        if (recovering && mayWrite && nowMillis >= nextWriteMillis) {
            nextWriteMillis = nowMillis + WRITE_INTERVAL_MILLIS;
            writeNext(nowMillis);
        }
    }

    private void writeNext(long nowMillis) {
        Optional<Transaction> next = nextTransaction(nowMillis);
        next.ifPresent(transaction -> write(transaction, nowMillis));
        recovering = next.isPresent() || !isSettled(nowMillis);
    }

    /**
     * Starts to write rows again. A member that has just started has only read what is left of the rows, so it leaves
     * those that know more the time to write theirs first.
     */
    private void beginEra(long nowMillis) {
        boolean knowsEarlier = era != NO_ERA;
        long before = era;
        era = context.era();
        if (lostRows().findAny().isEmpty()) {
            return;
        }
        long expiryMillis = context.settings().lease().expiryTimeoutMillis();
        recovering = true;
        settledAtMillis = nowMillis + expiryMillis;
        nextWriteMillis = nowMillis + context.random().nextInt(JITTER_MILLIS) + (knowsEarlier ? 0 : 2 * expiryMillis);
        context.listener().onEraBegan(era, before);
        sync.refresh();
    }

    private Optional<Transaction> nextTransaction(long nowMillis) {
        Optional<Transaction> shared = lostRows()
                .filter(row -> row.path().isIn(RowPath.SUSPECTS) || row.path().isUnassigned() || isOfMissedDeath(row))
                .findFirst()
                .map(EraRecovery::writeAgain);
        return shared.isPresent() || !isSettled(nowMillis) ? shared : nextSilentMember();
    }

    /** Returns whether a row says that a member is dead whose process may go on without knowing it. */
    private boolean isOfMissedDeath(Row row) {
        if (!row.path().isIn(RowPath.MEMBERS)) {
            return false;
        }
        return context.view().members().dead().stream()
                .filter(dead -> dead.id().value().equals(row.path().lastSegment()))
                .anyMatch(dead -> context.view().members().serving().stream()
                        .noneMatch(other -> other.instance().equals(dead.instance())));
    }

    private Stream<Row> lostRows() {
        return StreamSupport.stream(context.view().replica().all().spliterator(), false)
                .filter(row -> !row.deleted() && TableEra.of(row.revision()) < era);
    }

    private Optional<Transaction> nextSilentMember() {
        return context.view().members().serving().stream()
                .filter(member -> !context.view().isReplaced(member))
                .map(MemberRow::id)
                .filter(id -> !id.equals(context.self()) && !context.view().isRecordedInPresentEra(id))
                .findFirst()
                .map(id -> writeAgain(rowsOf(context.view(), id, era)));
    }

    /** Returns the rows of a member that were written before an era: its own row and those of the slices it owns. */
    static List<Row> rowsOf(ClusterView view, MemberId member, long era) {
        return StreamSupport.stream(view.replica().all().spliterator(), false)
                .filter(row -> row.path().isIn(RowPath.MEMBERS) || row.path().isIn(RowPath.SLICE_OWNERSHIPS))
                .filter(row -> row.path().lastSegment().equals(member.value()))
                .filter(row -> !row.deleted() && TableEra.of(row.revision()) < era)
                .toList();
    }

    private static Transaction writeAgain(Row row) {
        return writeAgain(List.of(row));
    }

    /** Returns a transaction that writes rows as they are, on condition that nobody has written them in this era. */
    static Transaction writeAgain(List<Row> rows) {
        Transaction.Builder transaction = Transaction.builder();
        rows.forEach(row -> transaction.replace(row.path(), row.revision(), row.value()));
        return transaction.build();
    }

    private void write(Transaction transaction, long nowMillis) {
        writing = true;
        writer.submit(transaction, nowMillis, outcome -> {
            writing = false;
            if (outcome.committed()) {
                sync.applyCommitted(transaction, outcome.version());
            }
            sync.refresh();
        });
    }
}
