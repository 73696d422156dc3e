package org.siskindyke.runtime.traffic;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import org.siskindyke.runtime.call.Header;

/**
 * Finds out whether a response broke off in its body, and the same response, written once more, filled the rest of the
 * announced length. Its body then holds the start of a header section that names the request.
 *
 * <p>The body is whatever the server sends, and it is read on the traffic loop. So the work for each byte is
 * bounded, whatever stands before it, and nothing is kept of the body but the state below.
 */
final class EmbeddedResponse implements ByteProcessor {
    /** Start of a status line (RFC 9112, section 4); {@code 0} stands for any digit. */
    private static final byte[] STATUS_LINE_START = "HTTP/1.0 000".getBytes(StandardCharsets.US_ASCII);

    private static final byte ANY_DIGIT = '0';

    private final FieldMatcher field;
    /** Number of bytes of {@link #STATUS_LINE_START} that the bytes read last match. */
    private int matched;
    /** Whether the present line contains a status line, which then extends to the end of the line. */
    private boolean hasStatusLine;
    /** Whether only fields have followed since the last status line. */
    private boolean inHeaderSection;
    /** Whether the header section has named no request yet. */
    private boolean idPending;

    private boolean afterCarriageReturn;
    private boolean found;

    private EmbeddedResponse(Header idField) {
        this.field = new FieldMatcher(idField);
    }

    /**
     * Returns whether a body holds such a header section.
     *
     * @param body the body; its reader index is not changed
     * @param hasBytesBehind whether more bytes arrived behind the body, so that a header section may end there
     * @param idField the field with which a response names the request
     */
    static boolean isIn(ByteBuf body, boolean hasBytesBehind, Header idField) {
        EmbeddedResponse search = new EmbeddedResponse(idField);
        int position = indexOfStart(body, body.readerIndex());
        while (position >= 0 && !search.found) {
            int last = body.forEachByte(position, body.writerIndex() - position, search);
            position = last < 0 ? -1 : indexOfStart(body, last + 1);
        }
        return search.found || hasBytesBehind && search.inHeaderSection;
    }

    private static int indexOfStart(ByteBuf body, int from) {
        return body.indexOf(from, body.writerIndex(), STATUS_LINE_START[0]);
    }

    /** Reads the next byte; returns false once the search may skip to the next byte with which a status line starts. */
    @Override
    public boolean process(byte next) {
        if (next == '\n') {
            onLine();
        } else {
            readWithinLine(next);
        }
        return !found && (matched > 0 || hasStatusLine || inHeaderSection);
    }

    private void readWithinLine(byte next) {
        if (afterCarriageReturn) {
            // A carriage return that does not end a line occurs neither in a status line nor in a field.
            inHeaderSection = false;
            startLine();
        }
        afterCarriageReturn = next == '\r';
        if (!afterCarriageReturn) {
            matchStatusLine(next);
            if (inHeaderSection) {
                field.read(next);
            }
        }
    }

    private void matchStatusLine(byte next) {
        if (matched == STATUS_LINE_START.length) {
            hasStatusLine |= next == ' ';
            matched = 0;
        }
        byte expected = STATUS_LINE_START[matched];
        boolean matches = expected == ANY_DIGIT ? next >= '0' && next <= '9' : next == expected;
        if (matches) {
            matched++;
        } else {
            // The first character of a status line does not occur further behind in its start.
            matched = next == STATUS_LINE_START[0] ? 1 : 0;
        }
    }

    private void onLine() {
        if (inHeaderSection) {
            onLineOfHeaderSection();
        }
        if (hasStatusLine || matched == STATUS_LINE_START.length) {
            inHeaderSection = true;
            idPending = true;
        }
        startLine();
    }

    private void onLineOfHeaderSection() {
        if (!field.isField()) {
            inHeaderSection = false;
        } else if (idPending && field.hasName()) {
            idPending = false;
            found = field.hasValue();
        }
    }

    private void startLine() {
        matched = 0;
        hasStatusLine = false;
        afterCarriageReturn = false;
        field.start();
    }
}
