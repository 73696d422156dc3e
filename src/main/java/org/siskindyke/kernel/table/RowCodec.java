package org.siskindyke.kernel.table;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** Converts row values to and from JSON. Ignores unknown fields when reading, as newer versions may add some. */
public final class RowCodec {
    /** Bounds of a row's text: far above those of any row that members write. */
    private static final StreamReadConstraints CONSTRAINTS = StreamReadConstraints.builder()
            .maxNestingDepth(32)
            .maxNumberLength(20)
            .maxStringLength(1 << 20)
            .maxDocumentLength(4L << 20)
            .build();

    private static final ObjectMapper MAPPER = JsonMapper.builder(
                    JsonFactory.builder().streamReadConstraints(CONSTRAINTS).build())
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private RowCodec() {}

    /**
     * Encodes a value.
     *
     * @param value a record that Jackson can write
     * @return JSON text
     * @throws SiskindykeException with code {@code INTERNAL} if Jackson cannot write the value
     */
    public static String encode(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new SiskindykeException(
                    ErrorCode.INTERNAL, "cannot encode " + value.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a row.
     *
     * @param row the row
     * @param type the record type
     * @param <T> the record type
     * @return the value
     * @throws SiskindykeException with code {@code CORRUPT_ROW} if the text does not fit the type
     */
    public static <T> T decode(Row row, Class<T> type) {
        T value;
        try {
            value = MAPPER.readValue(row.value(), type);
        } catch (JsonProcessingException e) {
            throw new SiskindykeException(ErrorCode.CORRUPT_ROW, "row " + row.path() + " is not readable", e);
        }
        if (value == null) {
            throw new SiskindykeException(ErrorCode.CORRUPT_ROW, "row " + row.path() + " is null");
        }
        return value;
    }
}
