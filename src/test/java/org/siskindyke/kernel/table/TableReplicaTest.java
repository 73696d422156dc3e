package org.siskindyke.kernel.table;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.siskindyke.plugin.table.EmbeddedTable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TableReplicaTest {
    @Property(tries = 200, seed = "51")
    void replicasThatExchangeLimitedChangesEndUpAlike(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 7) int limit) {
        Random random = new Random(seed);
        EmbeddedTable table = new EmbeddedTable();
        TableReplica first = new TableReplica();
        TableReplica second = new TableReplica();
        for (int i = 0; i < 60; i++) {
            write(table, random);
            if (random.nextInt(3) == 0) {
                first.apply(table.changesSince(first.version(), limit)
                        .toCompletableFuture()
                        .join());
            }
            if (random.nextInt(3) == 0) {
                second.apply(first.changesSince(second.version(), limit));
            }
        }
        for (int i = 0; i < 100; i++) {
            first.apply(table.changesSince(first.version(), limit)
                    .toCompletableFuture()
                    .join());
            second.apply(first.changesSince(second.version(), limit));
        }
        assertEquals(contents(first), contents(second));
        assertEquals(first.version(), second.version());
    }

    private static void write(EmbeddedTable table, Random random) {
        Transaction.Builder transaction = Transaction.builder();
        for (int i = 0; i <= random.nextInt(3); i++) {
            RowPath path = RowPath.of(RowPath.MEMBERS + random.nextInt(8));
            transaction.put(path, random.nextInt(5) == 0 ? null : "" + random.nextInt());
        }
        assertTrue(
                table.commit(transaction.build()).toCompletableFuture().join().committed());
    }

    private static Map<RowPath, Row> contents(TableReplica replica) {
        Map<RowPath, Row> contents = new HashMap<>();
        replica.all().forEach(row -> contents.put(row.path(), row));
        return contents;
    }

    @Property(tries = 100, seed = "52")
    void ofTwoTransactionsOnOneRevisionOnlyOneIsCommitted(@ForAll long seed) {
        EmbeddedTable table = new EmbeddedTable();
        RowPath path = RowPath.of(RowPath.DOCUMENTS + "haat");
        List<CommitResult> results = List.of(
                table.commit(Transaction.builder().replace(path, 0, "a" + seed).build())
                        .toCompletableFuture()
                        .join(),
                table.commit(Transaction.builder().replace(path, 0, "b").build())
                        .toCompletableFuture()
                        .join());
        assertEquals(1, results.stream().filter(CommitResult::committed).count());
        assertEquals("a" + seed, table.read(path).toCompletableFuture().join().value());
    }
}
