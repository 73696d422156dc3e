package org.siskindyke.runtime.traffic;

import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BodyBytesTest {
    private static final int MIN_CAPACITY = 512;

    /** Guards against bytes that are lost between blocks, and against chunks that take more than twice their size. */
    @Property(tries = 200, seed = "7")
    void chunksOfAnySizeAreCollectedInLittleMoreThanTheirSize(
            @ForAll @Size(max = 40) List<@IntRange(max = 9_000) Integer> chunks) {
        BodyBytes body = new BodyBytes();
        byte[] expected = new byte[chunks.stream().mapToInt(Integer::intValue).sum()];
        int position = 0;
        for (int length : chunks) {
            for (int i = position; i < position + length; i++) {
                expected[i] = (byte) (i * 31);
            }
            int capacity = body.capacityWith(length);
            body.append(Unpooled.wrappedBuffer(expected, position, length));
            assertEquals(capacity, body.capacity());
            position += length;
        }
        assertArrayEquals(expected, body.toArray());
        assertTrue(body.capacity() <= Math.max(MIN_CAPACITY, 2 * body.length()));
    }
}
