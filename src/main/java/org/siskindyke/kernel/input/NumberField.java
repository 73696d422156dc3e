package org.siskindyke.kernel.input;

import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Longs;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/**
 * A numeric field of a message, row, file or header that another program wrote. It is read within its range or not at
 * all: a value that is no number, has a fraction where none is allowed or is out of range is refused, never rounded,
 * truncated or wrapped.
 *
 * @param code the code of the error for a refused value
 * @param name the name of the field, for the error
 * @param min the lowest value
 * @param max the highest value
 */
public record NumberField(ErrorCode code, String name, long min, long max) {
    /** The highest whole number up to which a double represents each whole number exactly. */
    public static final long MAX_EXACT = (1L << 53) - 1;

    /** More digits than a long has; limits the work that a text without end can cause. */
    private static final int MAX_TEXT_LENGTH = 24;

    /** Returns a field of a message; a refused value has the code {@code INVALID_REQUEST}. */
    public static NumberField ofMessage(String name, long min, long max) {
        return new NumberField(ErrorCode.INVALID_REQUEST, name, min, max);
    }

    /**
     * Returns a whole number. One that is written with a fraction of zero or an exponent is accepted up to
     * {@link #MAX_EXACT}.
     *
     * @throws SiskindykeException with this field's code
     */
    public long read(JsonNode value) {
        if (value.isIntegralNumber() && value.canConvertToLong()) {
            return checked(value.longValue(), value);
        }
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (Math.rint(number) != number || Math.abs(number) > MAX_EXACT) {
            throw refused(value);
        }
        return checked((long) number, value);
    }

    /** Returns a whole number as above, or {@code absent} where the field is missing or null. */
    public long readOr(JsonNode value, long absent) {
        return value.isMissingNode() || value.isNull() ? absent : read(value);
    }

    /** Returns a whole number as above; the range must be within that of an int. */
    public int readInt(JsonNode value) {
        return Math.toIntExact(read(value));
    }

    /** Returns a whole number as above, or {@code absent} where the field is missing or null. */
    public int readIntOr(JsonNode value, int absent) {
        return value.isMissingNode() || value.isNull() ? absent : readInt(value);
    }

    /**
     * Returns a number that may have a fraction.
     *
     * @throws SiskindykeException with this field's code
     */
    public double readDecimal(JsonNode value) {
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!isWithin(number)) {
            throw refused(value);
        }
        return number;
    }

    /**
     * Returns the whole number that a text consists of; spaces around it are allowed.
     *
     * @throws SiskindykeException with this field's code
     */
    public long parse(String text) {
        return tryParse(text).orElseThrow(() -> refused(text));
    }

    /** Returns the whole number that a text consists of; empty for null and for a text that is refused. */
    public OptionalLong tryParse(String text) {
        String trimmed = trimmed(text);
        Long number = trimmed == null ? null : Longs.tryParse(trimmed);
        return number == null || number < min || number > max ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /** Returns the number, possibly with a fraction, that a text consists of; NaN for null and a refused text. */
    public double tryParseDecimal(String text) {
        String trimmed = trimmed(text);
        Double number = trimmed == null ? null : Doubles.tryParse(trimmed);
        return number != null && isWithin(number) ? number : Double.NaN;
    }

    private static String trimmed(String text) {
        return text == null || text.length() > MAX_TEXT_LENGTH ? null : text.trim();
    }

    private boolean isWithin(double number) {
        return number >= min && number <= max;
    }

    private long checked(long number, Object shown) {
        if (number < min || number > max) {
            throw refused(shown);
        }
        return number;
    }

    private SiskindykeException refused(Object value) {
        boolean isContainer = value instanceof JsonNode node && node.isContainerNode();
        String shown = isContainer ? "a list or an object" : String.valueOf(value);
        return new SiskindykeException(
                code,
                "field " + name + " must be a whole number from " + min + " to " + max + ", not "
                        + shown.substring(0, Math.min(shown.length(), MAX_TEXT_LENGTH)));
    }
}
