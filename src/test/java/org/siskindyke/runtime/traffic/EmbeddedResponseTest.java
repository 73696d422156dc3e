package org.siskindyke.runtime.traffic;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.runtime.call.Header;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what is found in a body, and that the work for a body is proportional to its length. */
class EmbeddedResponseTest {
    private static final Header ID = new Header("Id", "a");

    /** Parts of which bodies are made that nearly hold a response. */
    private static final List<String> PARTS = List.of(
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200\n",
            "HTTP/1.1 200 ",
            "HTTP/1.1 20",
            "HTTP/1.HTTP/1.0 404 x\r\n",
            "HHTTP/1.1 200 OK\r\n",
            "Id: a\r\n",
            "ID:\ta \n",
            "Id: b\r\n",
            "Id: a b\r\n",
            "Id : a\r\n",
            "Idd: a\r\n",
            "note: HTTP/1.1 200 OK\r\n",
            "note:   \r\n",
            "note:",
            ":",
            ": a\r\n",
            " ",
            "\r",
            "\n",
            "\r\n",
            "a:b\r\n",
            "H",
            "text");

    /** A buffer that counts the bytes that are read from it. */
    private static final class CountingBuffer extends UnpooledHeapByteBuf {
        private long reads;

        private CountingBuffer(byte[] bytes) {
            super(UnpooledByteBufAllocator.DEFAULT, bytes, bytes.length);
        }

        @Override
        protected byte _getByte(int index) {
            reads++;
            return super._getByte(index);
        }

        @Override
        protected long _getLong(int index) {
            reads += Long.BYTES;
            return super._getLong(index);
        }

        @Override
        protected long _getLongLE(int index) {
            reads += Long.BYTES;
            return super._getLongLE(index);
        }

        @Override
        protected int _getInt(int index) {
            reads += Integer.BYTES;
            return super._getInt(index);
        }

        @Override
        protected int _getIntLE(int index) {
            reads += Integer.BYTES;
            return super._getIntLE(index);
        }

        @Override
        public byte[] array() {
            throw new UnsupportedOperationException("reads of the array are not counted");
        }
    }

    private static ByteBuf buffer(String body) {
        return Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String body(long seed, int maxParts) {
        Random random = new Random(seed);
        StringBuilder body = new StringBuilder();
        for (int i = random.nextInt(maxParts); i >= 0; i--) {
            String part = PARTS.get(random.nextInt(PARTS.size()));
            body.append(part.repeat(random.nextInt(10) == 0 ? random.nextInt(20) : 1));
        }
        return body.toString();
    }

    /** Finds the same by regular expressions, whose work grows far faster than the body. */
    private static boolean isInByPatterns(String body, boolean hasBytesBehind) {
        Matcher statusLine =
                Pattern.compile("HTTP/1\\.\\d \\d{3}(?: [^\\r\\n]*)?\\r?\\n").matcher(body);
        Matcher field =
                Pattern.compile("([^\\s:]+):[ \\t]*([^\\r\\n]*?)[ \\t]*\\r?\\n").matcher(body);
        while (statusLine.find()) {
            int end = statusLine.end();
            List<String> ids = new ArrayList<>();
            while (field.region(end, body.length()).lookingAt()) {
                end = field.end();
                if (field.group(1).equalsIgnoreCase(ID.name())) {
                    ids.add(field.group(2));
                }
            }
            boolean isCut = body.substring(end).matches("[^\\r\\n]*\\r?");
            if (!ids.isEmpty() && ids.get(0).equals(ID.value()) || hasBytesBehind && isCut) {
                return true;
            }
        }
        return false;
    }

    @Property(tries = 20_000, seed = "63")
    void theSameIsFoundAsByRegularExpressions(@ForAll long seed, @ForAll boolean hasBytesBehind) {
        String body = body(seed, 12);
        assertEquals(
                isInByPatterns(body, hasBytesBehind),
                EmbeddedResponse.isIn(buffer(body), hasBytesBehind, ID),
                () -> "body: " + body);
    }

    @Example
    void aHeaderSectionThatNamesTheRequestIsFound() {
        assertTrue(EmbeddedResponse.isIn(buffer("textHTTP/1.1 200 OK\r\nX: y\r\niD: a\r\n"), false, ID));
        assertFalse(EmbeddedResponse.isIn(buffer("textHTTP/1.1 200 OK\r\nX: y\r\niD: b\r\n"), false, ID));
        assertFalse(EmbeddedResponse.isIn(buffer("textKILN/1.1 200 OK\r\nX: y\r\niD: a\r\n"), false, ID));
    }

    @Example
    void aHeaderSectionThatTheEndOfTheBodyCutsIsFoundIfMoreBytesFollow() {
        for (String cut : List.of("", "Note", "Note: x", "Note: x\r")) {
            String body = "textHTTP/1.1 200 OK\r\nX: y\r\n" + cut;
            assertTrue(EmbeddedResponse.isIn(buffer(body), true, ID), body);
            assertFalse(EmbeddedResponse.isIn(buffer(body), false, ID), body);
        }
    }

    /** Guards against work that grows faster than a body. */
    @Property(tries = 500, seed = "64")
    void eachByteIsLookedAtTwiceAtMost(@ForAll long seed) {
        byte[] bytes = body(seed, 200).getBytes(StandardCharsets.ISO_8859_1);
        CountingBuffer counting = new CountingBuffer(bytes);
        boolean found = EmbeddedResponse.isIn(counting, true, ID);
        assertTrue(counting.reads <= 2L * bytes.length, () -> counting.reads + " reads of " + bytes.length);
        assertTrue(found || counting.reads >= bytes.length, "bytes are looked at in another way");
    }

    /** Guards against memory that grows with a body, such as a list of its fields. */
    @Example
    void theMemoryThatIsAllocatedDoesNotGrowWithTheBody() {
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        for (String part : PARTS) {
            ByteBuf large = buffer(part.repeat(100_000));
            // The first search may load classes.
            EmbeddedResponse.isIn(large, false, ID);
            long beforeBytes =
                    threads.getThreadAllocatedBytes(Thread.currentThread().getId());
            EmbeddedResponse.isIn(large, false, ID);
            long allocatedBytes =
                    threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - beforeBytes;
            assertTrue(allocatedBytes < 10_000, () -> allocatedBytes + " bytes for " + part);
        }
    }
}
