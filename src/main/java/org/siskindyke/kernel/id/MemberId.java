package org.siskindyke.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one incarnation of a router. A restart, or a return after being declared dead, is a new member.
 *
 * @param value {@code instance:incarnation}, where the incarnation is unique among those of the instance
 */
public record MemberId(@JsonValue String value) implements Comparable<MemberId> {
    /** Stands for the table service as grantor; a member with this grantor renews its lease by writing a row. */
    public static final MemberId TABLE = new MemberId("table:0");

    /** Validates the text. */
    public MemberId {
        Names.check("member id", value);
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} for a malformed text
     */
    @JsonCreator
    public static MemberId of(String text) {
        return new MemberId(text);
    }

    /**
     * Makes the id of an incarnation.
     *
     * @param instance the instance
     * @param incarnation a number not used before by this instance; written unsigned and in base 36
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} if the id is too long
     */
    public static MemberId of(InstanceName instance, long incarnation) {
        return new MemberId(instance.value() + ":" + Long.toUnsignedString(incarnation, Character.MAX_RADIX));
    }

    @Override
    public int compareTo(MemberId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
