package org.siskindyke.runtime.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.LastHttpContent;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HeaderSectionScannerTest {
    private static final List<String> LINES =
            List.of("a:", "a: b", " folded", "\t", " ", "a:\rb", "\r", "HTTP/1.1 200 OK");

    private final HeaderSectionScanner scanner = new HeaderSectionScanner();

    /** Guards against lengths that depend on the pieces in which sections arrive, and on what the decoder leaves. */
    @Property(tries = 2_000, seed = "15")
    void sectionsAreMeasuredInWhateverPiecesTheyArrive(@ForAll long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < 3; i++) {
            String startLine = "x".repeat(1 + random.nextInt(20));
            StringBuilder section = new StringBuilder("\r\n".repeat(random.nextInt(3)));
            section.append(startLine).append(lineEnd(random));
            int fieldsBytes = 0;
            for (int lines = random.nextInt(10); lines > 0; lines--) {
                String line = LINES.get(random.nextInt(LINES.size()));
                String end = line.endsWith("\r") ? "\r\n" : lineEnd(random);
                section.append(line).append(end);
                fieldsBytes += line.length();
            }
            section.append(lineEnd(random));
            readInPieces(section + "a body\r\n\r\n", section.length(), random);
            assertEquals(startLine.length(), scanner.startLineBytes());
            assertEquals(fieldsBytes, scanner.fieldsBytes());
            scanner.onDecoded(section.length(), List.of(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    private static String lineEnd(Random random) {
        return random.nextBoolean() ? "\r\n" : "\n";
    }

    /** Appends pieces to a buffer, of which the decoder reads up to whatever position behind each piece. */
    private void readInPieces(String text, int sectionLength, Random random) {
        ByteBuf buffer = Unpooled.buffer();
        int decoded = 0;
        int measuredBytes = 0;
        for (int arrived = 0; arrived < text.length(); ) {
            int count = 1 + random.nextInt(Math.min(20, text.length() - arrived));
            buffer.writeBytes(text.substring(arrived, arrived + count).getBytes(StandardCharsets.US_ASCII));
            assertEquals(arrived < sectionLength, scanner.read(buffer), "ended at another place");
            arrived += count;
            int presentBytes = scanner.startLineBytes() + scanner.fieldsBytes();
            assertTrue(presentBytes >= measuredBytes, "a section has become shorter");
            measuredBytes = presentBytes;
            int position = decoded + random.nextInt(Math.min(arrived, sectionLength) - decoded + 1);
            buffer.skipBytes(position - decoded);
            scanner.onDecoded(position - decoded, List.of());
            decoded = position;
        }
        assertFalse(scanner.read(buffer));
    }
}
