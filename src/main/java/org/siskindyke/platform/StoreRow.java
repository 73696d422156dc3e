package org.siskindyke.platform;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.table.TableEra;

/**
 * A row in an answer of the platform's store.
 *
 * @param key the key
 * @param version the version of the transaction that wrote the row last
 * @param deleted whether that transaction removed it
 * @param value the text of its value, which the store holds in Base64; empty where it is removed
 */
record StoreRow(String key, long version, boolean deleted, String value) {
    /** The longest value that is read. Rows of the operator may be longer than those that this program may write. */
    private static final int MAX_VALUE_BYTES = 8 << 20;

    private static final NumberField VERSION = new NumberField(ErrorCode.CORRUPT_ROW, "ver", 0, TableEra.MAX_VERSION);

    /**
     * Reads a row.
     *
     * @throws SiskindykeException with code {@code CORRUPT_ROW} where a field is missing or malformed
     */
    static StoreRow read(JsonNode row) {
        JsonNode key = row.path("key");
        if (!key.isTextual()) {
            throw new SiskindykeException(ErrorCode.CORRUPT_ROW, "row without a key");
        }
        boolean deleted = row.path("tombstone").asBoolean(false);
        return new StoreRow(key.textValue(), VERSION.read(row.path("ver")), deleted, deleted ? "" : value(row));
    }

    private static String value(JsonNode row) {
        try {
            byte[] bytes = Base64.getDecoder().decode(row.path("value").asText());
            if (bytes.length <= MAX_VALUE_BYTES) {
                return new String(bytes, StandardCharsets.UTF_8);
            }
        } catch (IllegalArgumentException e) {
            throw new SiskindykeException(ErrorCode.CORRUPT_ROW, "value is not Base64: " + e.getMessage(), e);
        }
        throw new SiskindykeException(ErrorCode.CORRUPT_ROW, "value is longer than " + MAX_VALUE_BYTES + " bytes");
    }
}
