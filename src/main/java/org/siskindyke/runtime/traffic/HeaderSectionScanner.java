package org.siskindyke.runtime.traffic;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

/**
 * Reads header sections (RFC 9112, section 2.1) ahead of a decoder and measures them, so that a section which exceeds a
 * limit is not decoded. Reads each byte once, also where it arrives in many pieces.
 */
final class HeaderSectionScanner implements ByteProcessor {
    /**
     * Folded lines (RFC 9112, section 5.2) that are accepted in a section. The decoder copies the value that it has so
     * far for each of them.
     */
    static final int MAX_FOLDED_LINES = 256;

    private static final byte DELETE = 0x7f;

    /** Bytes behind the decoder's position that have been read here. */
    private int aheadBytes;

    private boolean ended;
    private boolean startLineBegun;
    private boolean startLineEnded;
    private int startLineBytes;
    private int fieldsBytes;
    private int foldedLines;
    private int lineBytes;
    private boolean afterCarriageReturn;

    /**
     * Reads what a buffer holds of the header section. Called before the decoder reads it.
     *
     * @return whether the section had not ended before
     */
    boolean read(ByteBuf in) {
        if (ended) {
            return false;
        }
        int start = in.readerIndex() + aheadBytes;
        int last = in.forEachByte(start, in.writerIndex() - start, this);
        int end = last < 0 ? in.writerIndex() : last + 1;
        aheadBytes = end - in.readerIndex();
        return true;
    }

    /**
     * Called once the decoder has read on.
     *
     * @param bytes by how many bytes
     * @param decoded what it has read; the next header section is expected behind a message that is whole
     */
    void onDecoded(int bytes, List<Object> decoded) {
        aheadBytes = Math.max(0, aheadBytes - bytes);
        if (decoded.stream().anyMatch(LastHttpContent.class::isInstance)) {
            restart();
        }
    }

    private void restart() {
        ended = false;
        startLineBegun = false;
        startLineEnded = false;
        startLineBytes = 0;
        fieldsBytes = 0;
        foldedLines = 0;
        startLine();
    }

    /** Reads a byte; returns whether the next one may belong to the section. */
    @Override
    public boolean process(byte next) {
        if (!startLineBegun && isSkipped(next)) {
            return true;
        }
        startLineBegun = true;
        if (next == '\n') {
            onLine();
            return !ended;
        }
        if (lineBytes == 0 && startLineEnded && (next == ' ' || next == '\t')) {
            foldedLines++;
        }
        lineBytes++;
        afterCarriageReturn = next == '\r';
        return true;
    }

    /** Returns whether the decoder skips a byte in front of a message. */
    private static boolean isSkipped(byte next) {
        return next >= 0 && next <= ' ' || next == DELETE;
    }

    private void onLine() {
        int bytes = presentLineBytes();
        if (startLineEnded) {
            ended = bytes == 0;
            fieldsBytes += bytes;
        } else {
            startLineBytes = bytes;
            startLineEnded = true;
        }
        startLine();
    }

    private void startLine() {
        lineBytes = 0;
        afterCarriageReturn = false;
    }

    private int presentLineBytes() {
        return afterCarriageReturn ? lineBytes - 1 : lineBytes;
    }

    /** Returns the length of the request line or status line as far as it was read, without its end. */
    int startLineBytes() {
        return startLineEnded ? startLineBytes : presentLineBytes();
    }

    /** Returns the length of the fields as far as they were read, without the ends of their lines. */
    int fieldsBytes() {
        return startLineEnded ? fieldsBytes + presentLineBytes() : 0;
    }

    /** Returns whether more lines continue the field before them than are accepted. */
    boolean hasTooManyFoldedLines() {
        return foldedLines > MAX_FOLDED_LINES;
    }
}
