package org.siskindyke.platform;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableEra;

/**
 * The key of a row in the platform's store, which names the era of the store in which the row was written. A row that
 * is written in a later era has another key, so that neither a version that is given out again nor a write that was
 * delayed since an earlier era has an effect on it.
 *
 * @param era the era; 0 where the store names none
 * @param path the row
 */
record EraKey(long era, RowPath path) {
    /** Prefix of markers; sorts before all other keys, so that the first page of a read shows them. */
    static final String MARKERS = "-markers/";

    private static final NumberField ERA = NumberField.ofMessage("era", 0, TableEra.MAX_ERA);

    private static final Pattern KEY = Pattern.compile("(" + MARKERS + ")?(?:e([0-9]{1,6})/)?(.+)");

    /** Returns the text form. */
    String text() {
        String name = path.value();
        boolean marker = name.startsWith(MARKERS);
        String group = marker ? MARKERS : "";
        String rest = name.substring(group.length());
        return era == 0 ? name : group + "e" + era + "/" + rest;
    }

    /** Parses the text form; empty for a key that no router writes. */
    static Optional<EraKey> parse(String text) {
        Matcher matcher = KEY.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String group = matcher.group(1) == null ? "" : matcher.group(1);
        long era = matcher.group(2) == null ? 0 : ERA.parse(matcher.group(2));
        try {
            return Optional.of(new EraKey(era, RowPath.of(group + matcher.group(3))));
        } catch (SiskindykeException e) {
            // Another writer's row; it names none of ours.
            return Optional.empty();
        }
    }

    boolean isMarker() {
        return path.isIn(MARKERS);
    }
}
