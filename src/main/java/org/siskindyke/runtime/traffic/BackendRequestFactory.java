package org.siskindyke.runtime.traffic;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;

/** Creates the HTTP requests in which calls are sent to a backend server. */
final class BackendRequestFactory {
    private final CallDialect dialect;

    BackendRequestFactory(CallDialect dialect) {
        this.dialect = dialect;
    }

    /**
     * Creates the request of a call.
     *
     * @param call the call
     * @param target the backend server
     * @param remainingMillis the time that the backend server has for the call
     * @return the request; its body is not copied
     */
    FullHttpRequest create(Call call, TargetName target, long remainingMillis) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.target(),
                Unpooled.wrappedBuffer(call.body()));
        for (Header header : call.headers()) {
            request.headers().add(header.name(), header.value());
        }
        for (Header header : dialect.backendHeaders(target, call, remainingMillis)) {
            request.headers().set(header.name(), header.value());
        }
        if (call.body().length > 0 || !call.method().equals(HttpMethod.GET.name())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }
}
