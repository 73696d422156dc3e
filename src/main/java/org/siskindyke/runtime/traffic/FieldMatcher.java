package org.siskindyke.runtime.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.siskindyke.runtime.call.Header;

/** Compares a line, which is read byte by byte, with a header field (RFC 9110, section 5) that is searched for. */
final class FieldMatcher {
    private final byte[] lowerCaseName;
    private final byte[] value;
    private Part part;
    /** Number of bytes of the part that are read, as far as they match. */
    private int matched;

    private boolean differs;
    private boolean hasName;

    private enum Part {
        NAME,
        BEFORE_VALUE,
        VALUE,
        AFTER_VALUE,
        NO_FIELD
    }

    FieldMatcher(Header searched) {
        this.lowerCaseName = searched.name().toLowerCase(Locale.ROOT).getBytes(StandardCharsets.ISO_8859_1);
        this.value = searched.value().getBytes(StandardCharsets.ISO_8859_1);
        start();
    }

    /** Begins a line. */
    void start() {
        part = Part.NAME;
        matched = 0;
        differs = false;
        hasName = false;
    }

    /** Reads the next byte of the line, without those that end it. */
    void read(byte next) {
        if (part == Part.NAME) {
            readName(next);
        } else if (part != Part.NO_FIELD) {
            readValue(next);
        }
    }

    private void readName(byte next) {
        if (next == ':') {
            boolean isEmpty = matched == 0 && !differs;
            hasName = !differs && matched == lowerCaseName.length;
            part = isEmpty ? Part.NO_FIELD : Part.BEFORE_VALUE;
            matched = 0;
            differs = false;
        } else if (isSpace(next)) {
            part = Part.NO_FIELD;
        } else {
            match(matched < lowerCaseName.length && lowerCase(next) == lowerCaseName[matched]);
        }
    }

    private void readValue(byte next) {
        boolean isBlank = next == ' ' || next == '\t';
        if (isBlank && part == Part.BEFORE_VALUE) {
            return;
        }
        if (isBlank && matched == value.length) {
            part = Part.AFTER_VALUE;
            return;
        }
        match(part != Part.AFTER_VALUE && matched < value.length && next == value[matched]);
        part = Part.VALUE;
    }

    private void match(boolean matches) {
        if (matches && !differs) {
            matched++;
        } else {
            differs = true;
        }
    }

    private static boolean isSpace(byte next) {
        return next == ' ' || next >= '\t' && next <= '\r';
    }

    private static int lowerCase(byte letter) {
        return letter >= 'A' && letter <= 'Z' ? letter + ('a' - 'A') : letter;
    }

    /** Returns whether the line is a field. */
    boolean isField() {
        return part != Part.NAME && part != Part.NO_FIELD;
    }

    /** Returns whether the line is a field of the searched name, in any case. */
    boolean hasName() {
        return isField() && hasName;
    }

    /** Returns whether its value is the searched one, apart from blanks around it. */
    boolean hasValue() {
        return hasName() && !differs && matched == value.length;
    }
}
