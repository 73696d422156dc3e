package org.siskindyke.runtime.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and rejects those of ambiguous length, which would allow request smuggling. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}
