package org.siskindyke.runtime;

import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;

/** The single thread to which the control state of a router is confined. */
public final class ControlThread implements AutoCloseable {
    private static final String OUT_OF_MEMORY = "event=out-of-memory during a task of the control thread";

    private final ScheduledExecutorService executor;

    /** Creates an executor with one daemon thread of the given name. */
    public ControlThread(String name) {
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Runs an action on the thread. Exceptions are logged; after {@link #close()} the action is dropped. */
    public void execute(Runnable action) {
        try {
            executor.execute(() -> runLogged(action));
        } catch (RejectedExecutionException e) {
            logger().log(Level.DEBUG, "control thread has stopped; action dropped");
        }
    }

    /** Runs an action on the thread after a delay. Exceptions are logged; after {@link #close()} it is dropped. */
    public void schedule(Runnable action, long delayMillis) {
        try {
            executor.schedule(() -> runLogged(action), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            logger().log(Level.DEBUG, "control thread has stopped; action dropped");
        }
    }

    /** Runs an action on the thread repeatedly, with a fixed delay between the end of one run and the next. */
    public void scheduleWithFixedDelay(Runnable action, long intervalMillis) {
        executor.scheduleWithFixedDelay(() -> runLogged(action), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Computes a value on the thread.
     *
     * @return a future that fails with the task's exception; after {@link #close()} it never completes
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> {
            try {
                result.complete(task.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    /** Returns a view of a table service whose stages complete on the thread; after {@link #close()} they never do. */
    public TableService confine(TableService table) {
        return new ConfinedTable(table);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** Returns the logger, looked up lazily because initializing logging takes a noticeable part of a start. */
    private static System.Logger logger() {
        return System.getLogger(ControlThread.class.getName());
    }

    private static void runLogged(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            logger().log(Level.ERROR, "event=control-failure", e);
        } catch (OutOfMemoryError e) {
            // Periodic tasks go on: without them, the process would live and lose its lease. The text is preallocated.
            System.err.println(OUT_OF_MEMORY);
        }
    }

    private final class ConfinedTable implements TableService {
        private final TableService table;

        private ConfinedTable(TableService table) {
            this.table = table;
        }

        @Override
        public long era() {
            return table.era();
        }

        @Override
        public CompletionStage<TableChanges> changesSince(long version, int limitRows) {
            return confine(table.changesSince(version, limitRows));
        }

        @Override
        public CompletionStage<Row> read(RowPath path) {
            return confine(table.read(path));
        }

        @Override
        public CompletionStage<List<Row>> list(String prefix, int limitRows) {
            return confine(table.list(prefix, limitRows));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return confine(table.commit(transaction));
        }

        @Override
        public long maxPollMillis() {
            return table.maxPollMillis();
        }

        private <T> CompletionStage<T> confine(CompletionStage<T> stage) {
            CompletableFuture<T> confined = new CompletableFuture<>();
            stage.whenComplete((value, failure) -> execute(() -> {
                if (failure == null) {
                    confined.complete(value);
                } else {
                    confined.completeExceptionally(failure);
                }
            }));
            confined.whenComplete((value, failure) -> {});
            return confined;
        }
    }
}
