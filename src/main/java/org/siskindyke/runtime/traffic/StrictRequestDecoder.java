package org.siskindyke.runtime.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and rejects those whose length could be read in two ways. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
