package org.siskindyke.kernel.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class OwnershipMapTest {
    private static final ServiceName SERVICE = ServiceName.of("haat");
    private static final MemberId A = MemberId.of("a:1");
    private static final MemberId B = MemberId.of("b:1");

    private static SliceOwnershipRow row(MemberId member, int slice, long generation) {
        return new SliceOwnershipRow(SERVICE, member, List.of(new OwnedSlice(slice, generation, 0)));
    }

    private static OwnershipMap map() {
        OwnershipMap map = new OwnershipMap();
        map.addService(SERVICE, 4);
        return map;
    }

    @Property(tries = 200, seed = "41")
    void theHighestGenerationIsKeptInAnyOrderOfRows(@ForAll long seed) {
        List<SliceOwnershipRow> history = new ArrayList<>();
        for (int generation = 1; generation <= 10; generation++) {
            history.add(row(generation % 2 == 0 ? A : B, 1, generation));
        }
        Collections.shuffle(history, new Random(seed));
        OwnershipMap map = map();
        history.forEach(h -> map.apply(h, 0));
        assertEquals(A, map.owner(new SliceRef(SERVICE, 1)).orElseThrow().member());
    }

    @Example
    void twoOwnersInOneGenerationAreRejected() {
        OwnershipMap map = map();
        map.apply(row(A, 0, 1), 0);
        assertThrows(SiskindykeException.class, () -> map.apply(row(B, 0, 1), 0));
    }

    @Example
    void aSliceIsUsableOnceItHasSettled() {
        OwnershipMap map = map();
        map.apply(new SliceOwnershipRow(SERVICE, A, List.of(new OwnedSlice(2, 1, 50))), 100);
        SliceOwner owner = map.owner(new SliceRef(SERVICE, 2)).orElseThrow();
        assertEquals(false, owner.isUsableBy(A, 149));
        assertEquals(true, owner.isUsableBy(A, 150));
        assertEquals(false, owner.isUsableBy(B, 150));
    }
}
