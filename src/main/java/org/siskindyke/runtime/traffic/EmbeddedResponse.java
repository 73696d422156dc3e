package org.siskindyke.runtime.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.siskindyke.runtime.call.Header;

/**
 * Finds out whether a response broke off in its body, and the same response, written once more, filled the rest of the
 * announced length. Its body then holds the start of a header section that names the request.
 */
final class EmbeddedResponse {
    private static final byte[] VERSION_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}(?: [^\\r\\n]*)?\\r?\\n");
    private static final Pattern FIELD = Pattern.compile("([^\\s:]+):[ \\t]*([^\\r\\n]*?)[ \\t]*\\r?\\n");
    private static final Pattern INCOMPLETE_LINE = Pattern.compile("[^\\r\\n]*\\r?");

    private EmbeddedResponse() {}

    /**
     * Returns whether a body holds such a header section.
     *
     * @param body the body
     * @param hasBytesBehind whether more bytes arrived behind the body, so that a header section may end there
     * @param namesRequest tells whether the fields of a header section name the request of the response
     */
    static boolean isIn(byte[] body, boolean hasBytesBehind, Predicate<List<Header>> namesRequest) {
        int start = indexOfVersion(body);
        if (start < 0) {
            return false;
        }
        String text = new String(body, start, body.length - start, StandardCharsets.ISO_8859_1);
        Matcher statusLine = STATUS_LINE.matcher(text);
        while (statusLine.find()) {
            List<Header> fields = new ArrayList<>();
            int end = readFields(text, statusLine.end(), fields);
            boolean isCut = INCOMPLETE_LINE.matcher(text.substring(end)).matches();
            if (namesRequest.test(fields) || hasBytesBehind && isCut) {
                return true;
            }
        }
        return false;
    }

    /** Reads fields from a position and returns where the last one ends. */
    private static int readFields(String text, int start, List<Header> fields) {
        Matcher field = FIELD.matcher(text);
        int end = start;
        while (field.region(end, text.length()).lookingAt()) {
            fields.add(new Header(field.group(1), field.group(2)));
            end = field.end();
        }
        return end;
    }

    private static int indexOfVersion(byte[] body) {
        for (int i = 0; i + VERSION_START.length <= body.length; i++) {
            int matched = 0;
            while (matched < VERSION_START.length && body[i + matched] == VERSION_START[matched]) {
                matched++;
            }
            if (matched == VERSION_START.length) {
                return i;
            }
        }
        return -1;
    }
}
