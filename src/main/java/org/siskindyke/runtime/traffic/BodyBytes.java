package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/** Collects a body of any length in blocks into which chunks are copied, so that a small chunk costs its bytes only. */
final class BodyBytes {
    private static final int MIN_BLOCK_BYTES = 512;
    private static final int MAX_BLOCK_BYTES = 65_536;

    private final List<byte[]> blocks = new ArrayList<>();
    private int usedOfLastBlock;
    private int length;
    private int capacity;

    /** Returns the number of bytes collected. */
    int length() {
        return length;
    }

    /** Returns the number of bytes that all blocks take. */
    int capacity() {
        return capacity;
    }

    /** Returns the capacity once a number of bytes more is collected. */
    int capacityWith(int moreBytes) {
        int result = capacity;
        while (length + moreBytes > result) {
            result += nextBlockBytes(result);
        }
        return result;
    }

    private static int nextBlockBytes(int capacity) {
        return Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, capacity));
    }

    /** Copies the readable bytes of a buffer, and consumes them. */
    void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (length == capacity) {
                byte[] block = new byte[nextBlockBytes(capacity)];
                blocks.add(block);
                capacity += block.length;
                usedOfLastBlock = 0;
            }
            byte[] last = blocks.get(blocks.size() - 1);
            int count = Math.min(last.length - usedOfLastBlock, bytes.readableBytes());
            bytes.readBytes(last, usedOfLastBlock, count);
            usedOfLastBlock += count;
            length += count;
        }
    }

    /** Returns all bytes in one array. */
    byte[] toArray() {
        byte[] result = new byte[length];
        int position = 0;
        for (byte[] block : blocks) {
            int count = Math.min(block.length, length - position);
            System.arraycopy(block, 0, result, position, count);
            position += count;
        }
        return result;
    }
}
