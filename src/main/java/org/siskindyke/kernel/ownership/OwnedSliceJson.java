package org.siskindyke.kernel.ownership;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;

/**
 * The JSON form of {@link OwnedSlice}: an array of index, generation and settle time; then, for a run, the number of
 * slices, or, where there is handover data, that data and the number of slices. A single slice without handover data
 * has a null instead, as in rows of earlier versions.
 */
final class OwnedSliceJson {
    private static final int SETTLE_MILLIS = 2;
    private static final int HANDOVER_OR_COUNT = 3;
    private static final int COUNT = 4;

    private OwnedSliceJson() {}

    /** Writes the form. */
    static final class Writer extends JsonSerializer<OwnedSlice> {
        @Override
        public void serialize(OwnedSlice slice, JsonGenerator json, SerializerProvider provider) throws IOException {
            json.writeStartArray();
            json.writeNumber(slice.index());
            json.writeNumber(slice.generation());
            json.writeNumber(slice.settleMillis());
            if (slice.handover() != null || slice.count() == 1) {
                json.writeString(slice.handover());
            }
            if (slice.count() != 1) {
                json.writeNumber(slice.count());
            }
            json.writeEndArray();
        }
    }

    /** Reads the form, and that of earlier versions; further elements are ignored, as newer versions may add some. */
    static final class Reader extends JsonDeserializer<OwnedSlice> {
        @Override
        public OwnedSlice deserialize(JsonParser json, DeserializationContext context) throws IOException {
            JsonNode array = context.readTree(json);
            JsonNode fourth = array.path(HANDOVER_OR_COUNT);
            boolean isRun = fourth.isNumber();
            JsonNode count = isRun ? fourth : array.path(COUNT);
            boolean hasHandover = fourth.isTextual();
            boolean isReadable = array.isArray()
                    && array.path(0).isIntegralNumber()
                    && array.path(0).canConvertToInt()
                    && array.path(1).isIntegralNumber()
                    && array.path(1).canConvertToLong()
                    && array.path(SETTLE_MILLIS).isIntegralNumber()
                    && array.path(SETTLE_MILLIS).canConvertToLong()
                    && (isRun || hasHandover || fourth.isNull() || fourth.isMissingNode())
                    && (count.isMissingNode() || count.isIntegralNumber() && count.canConvertToInt());
            if (!isReadable) {
                return context.reportInputMismatch(OwnedSlice.class, "not an entry of a slice or run: %s", array);
            }
            return new OwnedSlice(
                    array.path(0).intValue(),
                    array.path(1).longValue(),
                    array.path(SETTLE_MILLIS).longValue(),
                    hasHandover ? fourth.textValue() : null,
                    count.isMissingNode() ? 1 : count.intValue());
        }
    }
}
