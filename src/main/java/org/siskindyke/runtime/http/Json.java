package org.siskindyke.runtime.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** Reads and writes JSON bodies. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private Json() {}

    /**
     * The body of an error response to operators and callers.
     *
     * @param code the name of the error code or refusal
     * @param detail the cause and how to fix it; for an unexpected exception, the name of its class
     */
    public record Problem(String code, String detail) {}

    /** Returns the shared mapper. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Parses a body.
     *
     * @param body the body
     * @param type the record type; unknown fields are refused
     * @param <T> the record type
     * @return the value
     * @throws SiskindykeException with code {@code INVALID_REQUEST}
     */
    public static <T> T read(Buffer body, Class<T> type) {
        return read(body.toString(StandardCharsets.UTF_8), type);
    }

    /**
     * Parses a text.
     *
     * @param text the text
     * @param type the record type; unknown fields are refused
     * @param <T> the record type
     * @return the value
     * @throws SiskindykeException with code {@code INVALID_REQUEST}
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "the body is null; send an object");
            }
            return value;
        } catch (JsonProcessingException e) {
            String line = e.getOriginalMessage().lines().findFirst().orElse("malformed JSON");
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, line, e);
        }
    }

    /**
     * Writes a value as JSON text.
     *
     * @throws SiskindykeException with code {@code INTERNAL} where the value cannot be written
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new SiskindykeException(ErrorCode.INTERNAL, "cannot write as JSON: " + value.getClass(), e);
        }
    }

    /** Returns a response with a JSON body; a string is sent as it is. */
    public static HttpResponse respond(HttpResponseFactory factory, HttpResponseStatus status, Object value) {
        HttpResponse response = factory.newResponse(status);
        response.headers().set("content-type", "application/json");
        return response.payloadBody(DEFAULT_ALLOCATOR.fromUtf8(value instanceof String text ? text : write(value)));
    }

    /** Returns an error response; only a {@link SiskindykeException} shows its message. */
    public static HttpResponse problem(HttpResponseFactory factory, Throwable failure) {
        if (failure instanceof SiskindykeException coded) {
            return respond(
                    factory, status(coded.code()), new Problem(coded.code().name(), coded.getMessage()));
        }
        return respond(
                factory,
                HttpResponseStatus.INTERNAL_SERVER_ERROR,
                new Problem(ErrorCode.INTERNAL.name(), failure.getClass().getSimpleName()));
    }

    private static HttpResponseStatus status(ErrorCode code) {
        return switch (code) {
            case INVALID_NAME, INVALID_SETTING, INVALID_DOCUMENT, INVALID_REQUEST -> HttpResponseStatus.BAD_REQUEST;
            case REVISION_CONFLICT -> HttpResponseStatus.PRECONDITION_FAILED;
            case NOT_FOUND -> HttpResponseStatus.NOT_FOUND;
            case TOO_LARGE -> HttpResponseStatus.PAYLOAD_TOO_LARGE;
            case TABLE_UNAVAILABLE, PEER_UNAVAILABLE, ADDRESS_UNAVAILABLE -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            default -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
        };
    }
}
