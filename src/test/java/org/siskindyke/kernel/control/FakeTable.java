package org.siskindyke.kernel.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;

/** One member's access to the shared table, with delays, outages, lost requests and lost answers. */
final class FakeTable implements TableService {
    private static final long TIMEOUT_MILLIS = 800;
    private static final long MAX_LATE_MILLIS = 3_000;

    private final FakeWorld world;
    private final FakeMember member;
    private final int startNumber;
    private int polls;
    private int otherCalls;
    /** The era that the last answer named, which operations are meant for. */
    private long knownEra;

    FakeTable(FakeWorld world, FakeMember member, int startNumber) {
        this.world = world;
        this.member = member;
        this.startNumber = startNumber;
    }

    @Override
    public CompletionStage<TableChanges> changesSince(long version, int limitRows) {
        polls++;
        return call(() -> world.table.changesSince(version, limitRows));
    }

    /** Returns the number of polls for changes. */
    int polls() {
        return polls;
    }

    /** Returns the number of reads and writes, polls for changes not counted. */
    int otherCalls() {
        return otherCalls;
    }

    @Override
    public CompletionStage<Row> read(RowPath path) {
        otherCalls++;
        return call(() -> world.table.read(path));
    }

    @Override
    public CompletionStage<List<Row>> list(String prefix, int limitRows) {
        return call(() -> world.table.list(prefix, limitRows));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        otherCalls++;
        int entries = transaction.conditions().size() + transaction.writes().size();
        if (entries > world.tableFaults.maxEntries) {
            return CompletableFuture.failedStage(new SiskindykeException(
                    ErrorCode.TABLE_UNAVAILABLE, "refused a transaction of " + entries + " entries"));
        }
        boolean late = world.happens(world.tableFaults.lateWritePercent);
        return call(() -> world.table.commit(transaction), late ? world.delayUpTo(MAX_LATE_MILLIS) : 0);
    }

    @Override
    public long era() {
        return knownEra;
    }

    /** Executes an operation some time later; without effect if a new era has begun by then. */
    private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> operation) {
        return call(operation, 0);
    }

    private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> operation, long lateMillis) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        FakeWorld.FakeTableFaults faults = world.tableFaults;
        long era = knownEra;
        world.schedule(lateMillis + world.delayUpTo(faults.maxDelayMillis), () -> {
            if (faults.down || world.happens(faults.loseRequestPercent)) {
                return;
            }
            if (era == world.table.era()) {
                operation.get().thenAccept(value -> deliver(answer, value));
            } else {
                refuse(answer, world.table.era());
            }
        });
        world.schedule(
                TIMEOUT_MILLIS,
                () -> member.run(
                        startNumber,
                        () -> answer.completeExceptionally(
                                new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, "no answer"))));
        return answer;
    }

    private <T> void deliver(CompletableFuture<T> answer, T value) {
        FakeWorld.FakeTableFaults faults = world.tableFaults;
        if (!faults.down && !world.happens(faults.loseAnswerPercent)) {
            world.schedule(
                    world.delayUpTo(faults.maxDelayMillis),
                    () -> member.run(startNumber, () -> answer.complete(value)));
        }
    }

    private <T> void refuse(CompletableFuture<T> answer, long era) {
        world.schedule(
                world.delayUpTo(world.tableFaults.maxDelayMillis),
                () -> member.run(startNumber, () -> {
                    knownEra = Math.max(knownEra, era);
                    answer.completeExceptionally(
                            new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, "table is of era " + era));
                }));
    }
}
