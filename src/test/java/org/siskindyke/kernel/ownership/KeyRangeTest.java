package org.siskindyke.kernel.ownership;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class KeyRangeTest {
    @Property(seed = "44")
    void everyKeyLiesInTheRangeOfItsSlice(
            @ForAll @IntRange(max = KeyRange.KEY_COUNT - 1) int key,
            @ForAll @IntRange(min = 1, max = 4_096) int slices) {
        int slice = KeyRange.sliceOf(key, slices);
        KeyRange range = KeyRange.ofSlice(slice, slices);
        assertTrue(range.first() <= key && key <= range.last());
    }

    @Property(seed = "44")
    void theSlicesCoverAllKeysWithoutOverlap(@ForAll @IntRange(min = 1, max = 4_096) int slices) {
        int next = 0;
        for (int slice = 0; slice < slices; slice++) {
            KeyRange range = KeyRange.ofSlice(slice, slices);
            assertEquals(next, range.first());
            next = range.last() + 1;
        }
        assertEquals(KeyRange.KEY_COUNT, next);
    }
}
