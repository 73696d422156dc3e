package org.siskindyke.kernel.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskindyke.kernel.crash.CrashInvestigation.Loss;
import org.siskindyke.kernel.crash.CrashSuspects;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.SuspectReport;
import org.siskindyke.kernel.crash.SuspectRow;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Shares the evidence against suspected requests with other members. New evidence goes to some members at once, which
 * pass it on, and by gossip to the rest. Convictions are written to the table as well, so that they outlast a loss of
 * all routers at once.
 */
final class SuspectRegistry {
    /** Members to which the member beside a crashed backend server sends the evidence. */
    private static final int FIRST_RECIPIENTS = 12;
    /** Members to which each recipient sends new evidence. */
    private static final int FURTHER_RECIPIENTS = 3;

    /** Time for which cleared requests are collected to be sent together. */
    private static final long CLEARED_PUSH_DELAY_MILLIS = 100;

    private static final long EXPIRE_INTERVAL_MILLIS = 10_000;
    /** Spreads the deletions of a row over the members, so that most find it deleted already. */
    private static final int DELETION_JITTER_MILLIS = 120_000;

    private final ControlContext context;
    private final TableSync sync;
    private final TableWriter writer;
    /** When to delete each row that was read. */
    private final Map<RowPath, Long> deletionMillis = new HashMap<>();

    /** Requests that ran at crashes beside this member. */
    private final Set<RequestFingerprint> seenHere = new HashSet<>();

    private final Set<RequestFingerprint> convicted = new HashSet<>();
    /** Requests that were cleared here and are to be sent to other members. */
    private final Set<RequestFingerprint> cleared = new HashSet<>();

    private long clearedPushMillis;
    private long nextExpiryMillis = Long.MIN_VALUE;

    SuspectRegistry(ControlContext context, TableSync sync, TableWriter writer) {
        this.context = context;
        this.sync = sync;
        this.writer = writer;
    }

    private CrashSuspects suspects() {
        return context.view().suspects();
    }

    /** Records that a backend server beside this member has ended, and what it ran then. */
    void onCrash(TargetIncarnation target, List<Loss> running) {
        long nowMillis = context.nowMillis();
        long suspected = running.stream().filter(Loss::suspected).count();
        List<SuspectReport> reports = running.stream()
                .map(loss -> suspects()
                        .onCrash(target, loss, running.size() == 1 || loss.suspected() && suspected == 1, nowMillis))
                .limit(CrashSuspects.MAX_REPORTS)
                .toList();
        reports.forEach(report -> seenHere.add(report.request()));
        sync.pushSuspects(reports, FIRST_RECIPIENTS);
        noteConvictions(reports, nowMillis);
    }

    /** Records that a backend server beside this member has answered a request. */
    void onAnswered(RequestFingerprint request) {
        long nowMillis = context.nowMillis();
        if (suspects().onAnswered(request, nowMillis)) {
            if (cleared.isEmpty()) {
                clearedPushMillis = nowMillis + CLEARED_PUSH_DELAY_MILLIS;
            }
            cleared.add(request);
        }
    }

    private void pushCleared(long nowMillis) {
        List<SuspectReport> reports = cleared.stream()
                .map(request -> suspects().report(request, nowMillis))
                .limit(CrashSuspects.MAX_REPORTS)
                .toList();
        cleared.clear();
        sync.pushSuspects(reports, FIRST_RECIPIENTS);
    }

    /** Accepts what another member knows, and passes new evidence on. */
    void onReports(List<SuspectReport> received) {
        long nowMillis = context.nowMillis();
        List<SuspectReport> news = suspects().merge(received, nowMillis);
        if (!news.isEmpty()) {
            sync.pushSuspects(news, FURTHER_RECIPIENTS);
            noteConvictions(news, nowMillis);
        }
    }

    /** Accepts a conviction from the table; a row that cannot be read is left out. */
    void onRow(Row row) {
        if (row.deleted()) {
            deletionMillis.remove(row.path());
            return;
        }
        long nowMillis = context.nowMillis();
        long jitterMillis = context.random().nextInt(DELETION_JITTER_MILLIS);
        deletionMillis.putIfAbsent(row.path(), nowMillis + CrashSuspects.EVIDENCE_LIFETIME_MILLIS + jitterMillis);
        try {
            RequestFingerprint request = RequestFingerprint.parse(row.path().lastSegment());
            SuspectReport report = RowCodec.decode(row, SuspectRow.class).toReport(request);
            suspects().merge(List.of(report), nowMillis);
            noteConvictions(List.of(report), nowMillis);
        } catch (SiskindykeException e) {
            context.listener().onRowIgnored(row.path(), e);
        }
    }

    private void write(RequestFingerprint request, long nowMillis) {
        RowPath path = RowPath.suspect(request);
        String value = RowCodec.encode(SuspectRow.of(suspects().report(request, nowMillis)));
        Transaction transaction = Transaction.builder().put(path, value).build();
        writer.submit(transaction, nowMillis, outcome -> {});
    }

    /** Reports requests that are convicted now; members beside one of the crashes write them to the table. */
    private void noteConvictions(List<SuspectReport> news, long nowMillis) {
        for (SuspectReport report : news) {
            RequestFingerprint request = report.request();
            if (suspects().isConvicted(request, nowMillis) && convicted.add(request)) {
                context.listener().onConvicted(suspects().report(request, nowMillis));
                if (seenHere.contains(request)) {
                    write(request, nowMillis);
                }
            }
        }
    }

    void tick(long nowMillis) {
        if (!cleared.isEmpty() && nowMillis >= clearedPushMillis) {
            pushCleared(nowMillis);
        }
        if (nowMillis < nextExpiryMillis) {
            return;
        }
        nextExpiryMillis = nowMillis + EXPIRE_INTERVAL_MILLIS;
        suspects().expire(nowMillis);
        convicted.removeIf(request -> !suspects().isConvicted(request, nowMillis));
        seenHere.removeIf(
                request -> suspects().report(request, nowMillis).crashes().isEmpty());
        for (Map.Entry<RowPath, Long> entry : Map.copyOf(deletionMillis).entrySet()) {
            if (nowMillis >= entry.getValue()) {
                deletionMillis.remove(entry.getKey());
                delete(entry.getKey(), nowMillis);
            }
        }
    }

    private void delete(RowPath path, long nowMillis) {
        long revision = context.view().revision(path);
        writer.submit(Transaction.builder().delete(path, revision).build(), nowMillis, outcome -> {});
    }
}
