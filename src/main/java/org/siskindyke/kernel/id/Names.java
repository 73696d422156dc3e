package org.siskindyke.kernel.id;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** Checks the text of identifiers. */
final class Names {
    /** Longest accepted text, in characters. */
    static final int MAX_LENGTH = 128;

    private Names() {}

    static void check(String kind, String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_LENGTH) {
            throw invalid(kind, text);
        }
        for (int i = 0; i < text.length(); i++) {
            if (!isAllowed(text.charAt(i))) {
                throw invalid(kind, text);
            }
        }
    }

    private static boolean isAllowed(char c) {
        boolean alphanumeric = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
        return alphanumeric || c == '.' || c == '_' || c == ':' || c == '-';
    }

    private static SiskindykeException invalid(String kind, String text) {
        String shown = text == null ? "null" : text.substring(0, Math.min(text.length(), MAX_LENGTH));
        return new SiskindykeException(
                ErrorCode.INVALID_NAME,
                "malformed " + kind + " '" + shown + "'; use 1 to " + MAX_LENGTH
                        + " characters of A-Z a-z 0-9 . _ : -");
    }
}
