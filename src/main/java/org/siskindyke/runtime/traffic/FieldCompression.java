package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersDecoder;
import io.netty.handler.codec.http2.DefaultHttp2HeadersEncoder;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersEncoder;
import org.siskindyke.runtime.call.Header;

/**
 * Compresses the fields of the frames on one connection with HPACK (RFC 7541): a field that was sent recently on the
 * connection takes one or two bytes. Both ends must process the frames in the same order.
 */
final class FieldCompression {
    /** Required by the methods of Netty's HTTP/2 codec; frames belong to no stream. */
    private static final int STREAM_ID = 1;
    /** Bytes that HPACK counts for each field besides its name and value (RFC 7541, section 4.1). */
    private static final int FIELD_OVERHEAD_BYTES = 32;
    /**
     * Largest size of a frame's fields. A request has as many as its request line and header section allow, at least
     * two bytes for each, and a few of the router.
     */
    private static final int MAX_FIELDS_BYTES =
            HttpListener.MAX_HEADER_BYTES / 2 * (2 + FIELD_OVERHEAD_BYTES) + HttpListener.MAX_HEADER_BYTES + (1 << 16);
    /** The same on a connection whose opener has not named itself. */
    private static final int MAX_UNNAMED_FIELDS_BYTES = 256 * 1024;

    private final DefaultHttp2HeadersEncoder encoder =
            new DefaultHttp2HeadersEncoder(Http2HeadersEncoder.NEVER_SENSITIVE, true);
    private final DefaultHttp2HeadersDecoder decoder = new DefaultHttp2HeadersDecoder(false, MAX_UNNAMED_FIELDS_BYTES);

    /** Accepts the fields of any request from now on, since the other end is a router. */
    void onNamed() {
        try {
            decoder.maxHeaderListSize(MAX_FIELDS_BYTES, MAX_FIELDS_BYTES);
        } catch (Http2Exception e) {
            throw new IllegalStateException("HPACK does not allow " + MAX_FIELDS_BYTES + " bytes", e);
        }
    }

    /** Appends the compressed fields. */
    void encode(List<Header> fields, ByteBuf out) {
        Http2Headers headers = new DefaultHttp2Headers(false);
        fields.forEach(field -> headers.add(field.name(), field.value()));
        try {
            encoder.encodeHeaders(STREAM_ID, headers, out);
        } catch (Http2Exception e) {
            throw new IllegalArgumentException("fields cannot be encoded", e);
        }
    }

    /** Reads all compressed fields. */
    List<Header> decode(ByteBuf in) {
        try {
            Http2Headers headers = decoder.decodeHeaders(STREAM_ID, in);
            List<Header> fields = new ArrayList<>(headers.size());
            for (Map.Entry<CharSequence, CharSequence> field : headers) {
                fields.add(
                        new Header(field.getKey().toString(), field.getValue().toString()));
            }
            return fields;
        } catch (Http2Exception e) {
            throw new CorruptedFrameException("fields cannot be decoded", e);
        }
    }
}
