package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.List;

import org.siskindyke.runtime.call.Header;

/** Requests and responses of the HTTP servers on the traffic loop. */
public final class HttpExchange {
    private HttpExchange() {}

    /**
     * A whole request.
     *
     * @param method the method
     * @param target path and query
     * @param headers its header fields in order
     * @param body its body, empty for none
     * @param remote the other end of the connection
     */
    public record Request(String method, String target, List<Header> headers, byte[] body, InetSocketAddress remote) {}

    /**
     * A whole response.
     *
     * @param status the status code
     * @param headers header fields but those about the connection and the length
     * @param body the body
     */
    public record Response(int status, List<Header> headers, byte[] body) {
        private static final byte[] NO_BODY = {};

        /** Returns a response without a body. */
        public static Response empty(int status) {
            return new Response(status, List.of(), NO_BODY);
        }
    }

    /** Takes the one response to a request. */
    @FunctionalInterface
    public interface Responder {
        /** Sends the response once those before it on the connection are sent. */
        void respond(Response response);
    }

    /** Answers requests; called on the traffic loop. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Starts to answer a request.
         *
         * @return gives it up when its connection has closed
         */
        Cancellable handle(Request request, Responder responder);
    }
}
