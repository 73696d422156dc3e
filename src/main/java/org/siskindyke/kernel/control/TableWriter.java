package org.siskindyke.kernel.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Writes transactions one at a time and determines the outcome of each.
 *
 * <p>Each transaction also writes its number to this member's writer row. A transaction whose answer was lost is
 * retried unchanged; if the retry fails with a conflict, the number in the writer row shows whether an earlier
 * attempt took effect. While an answer is late, the writer row is read to determine the outcome without it.
 *
 * <p>A transaction that was made in an earlier {@link org.siskindyke.kernel.table.TableEra} counts as a conflict: what
 * it requires may have been lost. If an attempt took effect in that era, its rows are written again by those who saw
 * them.
 */
public final class TableWriter {
    private static final long INITIAL_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final long OUTCOME_READ_AFTER_MILLIS = 250;

    private final ControlContext context;
    private final RowPath writerPath;
    private final Deque<Pending> queue = new ArrayDeque<>();
    private long writerRevision;
    private long nextNumber = 1;
    private boolean inFlight;
    private long retryAtMillis;
    private long retryDelayMillis = INITIAL_RETRY_MILLIS;

    /**
     * Creates a writer.
     *
     * @param context settings and collaborators that all parts share
     */
    TableWriter(ControlContext context) {
        this.context = context;
        this.writerPath = RowPath.writer(context.self());
    }

    private record WriterRow(long number) {}

    /** A queued transaction and the number that it writes to the writer row. */
    private static final class Pending {
        private final Transaction transaction;
        private final long number;
        private final Consumer<CommitOutcome> onOutcome;
        /** The era of the table in which the transaction was made. */
        private final long era;
        /** Whether an attempt failed without an answer, so that it may have taken effect. */
        private boolean ambiguous;
        /** Whether the outcome is known; later answers are ignored. */
        private boolean settled;
        /** When to read the writer row because the answer is late. */
        private long readAtMillis;

        private Pending(Transaction transaction, long number, long era, Consumer<CommitOutcome> onOutcome) {
            this.transaction = transaction;
            this.number = number;
            this.era = era;
            this.onOutcome = onOutcome;
        }
    }

    /** Returns the number of transactions whose outcome is not known yet. */
    public int pendingCount() {
        return queue.size();
    }

    /**
     * Queues a transaction.
     *
     * @param transaction the transaction
     * @param nowMillis the current time
     * @param onOutcome receives the outcome on the control thread once it is known, however long that takes
     */
    public void submit(Transaction transaction, long nowMillis, Consumer<CommitOutcome> onOutcome) {
        queue.add(new Pending(transaction, nextNumber++, context.era(), onOutcome));
        tick(nowMillis);
    }

    /** Sends the next transaction, or retries the present one, when it is due. */
    public void tick(long nowMillis) {
        Pending head = queue.peek();
        if (head != null && inFlight && nowMillis >= head.readAtMillis) {
            head.readAtMillis = nowMillis + OUTCOME_READ_AFTER_MILLIS;
            readOutcomeEarly(head, nowMillis);
        }
        if (head == null || inFlight || nowMillis < retryAtMillis) {
            return;
        }
        if (head.era < context.era()) {
            settle(head, CommitOutcome.CONFLICT, nowMillis);
            return;
        }
        inFlight = true;
        head.readAtMillis = nowMillis + OUTCOME_READ_AFTER_MILLIS;
        Transaction numbered = Transaction.builder()
                .addAll(head.transaction)
                .replace(writerPath, writerRevision, RowCodec.encode(new WriterRow(head.number)))
                .build();
        context.whenComplete(
                context.table().commit(numbered), (result, failure) -> onAnswer(head, result, failure, nowMillis));
    }

    /** Reads the writer row to find out whether a transaction whose answer is late took effect. */
    private void readOutcomeEarly(Pending head, long nowMillis) {
        context.whenComplete(context.table().read(writerPath), (row, failure) -> {
            if (failure == null && provesCommit(row, head)) {
                settle(head, new CommitOutcome(true, row.revision()), nowMillis);
            }
        });
    }

    /** Returns whether the writer row has the number of a transaction; one that another program wrote has not. */
    private static boolean provesCommit(Row writer, Pending head) {
        try {
            return !writer.deleted() && RowCodec.decode(writer, WriterRow.class).number() == head.number;
        } catch (SiskindykeException e) {
            return false;
        }
    }

    /** Handles the answer to an attempt that was sent at {@code sentMillis}, from which the retry delay counts. */
    private void onAnswer(Pending head, CommitResult result, Throwable failure, long sentMillis) {
        if (head.settled) {
            return;
        }
        if (failure != null) {
            head.ambiguous = true;
            retryLater(sentMillis);
        } else if (result.committed()) {
            settle(head, new CommitOutcome(true, result.version()), sentMillis);
        } else if (head.ambiguous) {
            context.whenComplete(
                    context.table().read(writerPath),
                    (row, readFailure) -> onWriterRowRead(head, row, readFailure, sentMillis));
        } else {
            settle(head, CommitOutcome.CONFLICT, sentMillis);
        }
    }

    private void onWriterRowRead(Pending head, Row writer, Throwable failure, long sentMillis) {
        if (head.settled) {
            return;
        }
        if (failure != null) {
            retryLater(sentMillis);
        } else if (provesCommit(writer, head)) {
            settle(head, new CommitOutcome(true, writer.revision()), sentMillis);
        } else {
            settle(head, CommitOutcome.CONFLICT, sentMillis);
        }
    }

    private void settle(Pending head, CommitOutcome outcome, long sentMillis) {
        if (head.settled) {
            return;
        }
        head.settled = true;
        queue.remove(head);
        inFlight = false;
        retryDelayMillis = INITIAL_RETRY_MILLIS;
        if (outcome.committed()) {
            writerRevision = outcome.version();
        }
        head.onOutcome.accept(outcome);
        tick(sentMillis);
    }

    private void retryLater(long sentMillis) {
        inFlight = false;
        retryAtMillis = sentMillis + retryDelayMillis + context.random().nextLong(retryDelayMillis);
        retryDelayMillis = Math.min(MAX_RETRY_MILLIS, retryDelayMillis * 2);
    }
}
