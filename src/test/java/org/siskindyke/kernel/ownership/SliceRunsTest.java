package org.siskindyke.kernel.ownership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SliceRunsTest {
    private static final int BLOCK = 8;
    private static final ServiceName SERVICE = ServiceName.of("haat");

    private static List<OwnedSlice> randomRuns(Random random) {
        List<OwnedSlice> runs = new ArrayList<>();
        int index = 0;
        while (index < 64) {
            int count = Math.min(1 + random.nextInt(BLOCK), BLOCK - index % BLOCK);
            if (random.nextInt(4) > 0) {
                runs.add(new OwnedSlice(index, random.nextInt(5), 0, null, count));
            }
            index += count;
        }
        return runs;
    }

    /** Guards against slices that are lost or doubled where runs are split. */
    @Property(tries = 200, seed = "51", generation = GenerationMode.RANDOMIZED)
    void partsAndRestMakeUpTheWhole(@ForAll long seed) {
        Random random = new Random(seed);
        List<OwnedSlice> runs = randomRuns(random);
        BitSet moving = BitSet.valueOf(new long[] {random.nextLong()});
        List<OwnedSlice> parts = SliceRuns.only(runs, moving);
        List<OwnedSlice> rest = SliceRuns.except(runs, moving);
        assertEquals(SliceRuns.count(runs), SliceRuns.count(parts) + SliceRuns.count(rest));
        BitSet both = SliceRuns.bits(parts);
        assertTrue(!both.intersects(SliceRuns.bits(rest)));
        both.or(SliceRuns.bits(rest));
        assertEquals(SliceRuns.bits(runs), both);
    }

    /** Guards against a slice whose generation does not grow as it moves, and runs beyond their block. */
    @Property(tries = 200, seed = "52", generation = GenerationMode.RANDOMIZED)
    void joinedRunsHaveHigherGenerationsThanAllTheirParts(@ForAll long seed) {
        List<OwnedSlice> runs = randomRuns(new Random(seed));
        List<OwnedSlice> next = SliceRuns.reassign(runs, BLOCK, seed % 2 == 0 ? 0 : 1, run -> 0, run -> null);
        assertEquals(SliceRuns.bits(runs), SliceRuns.bits(next));
        assertEquals(SliceRuns.count(runs), SliceRuns.count(next));
        for (OwnedSlice run : next) {
            assertEquals(run.index() / BLOCK, (run.end() - 1) / BLOCK);
            SliceRuns.only(runs, SliceRuns.bits(List.of(run)))
                    .forEach(part -> assertTrue(part.generation() < run.generation()));
        }
    }

    /** Guards against rows of earlier versions, whose entries have no count, that are not read. */
    @Example
    void anEntryWithoutACountIsASingleSlice() {
        String text = "{\"service\":\"haat\",\"slices\":[[3,7,0,null],[4,7,50,\"h\"],[64,1,0,64],[128,1,0,\"h\",64]]}";
        SliceOwnershipRow row = SliceOwnershipRow.read(
                new Row(new SliceOwnershipRow(SERVICE, null, List.of()).path(), 1, text, false), SERVICE, null);
        assertEquals(
                List.of(
                        new OwnedSlice(3, 7, 0),
                        new OwnedSlice(4, 7, 50, "h"),
                        new OwnedSlice(64, 1, 0, null, 64),
                        new OwnedSlice(128, 1, 0, "h", 64)),
                row.slices());
        assertEquals(text, RowCodec.encode(row));
    }
}
