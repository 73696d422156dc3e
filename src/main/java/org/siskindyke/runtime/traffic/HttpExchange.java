package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.List;

import org.siskindyke.runtime.call.Header;

/** Requests and responses of the HTTP servers on the traffic loop; {@link PooledHttpClient} returns responses too. */
public final class HttpExchange {
    private static final double MILLIS_PER_SECOND = 1_000;

    private HttpExchange() {}

    /**
     * A complete request.
     *
     * @param method the method
     * @param target the request target: path and query
     * @param headers its header fields in order
     * @param body its body, empty for none
     * @param remote the address of the other end of the connection
     */
    public record Request(String method, String target, List<Header> headers, byte[] body, InetSocketAddress remote) {}

    /**
     * A complete response.
     *
     * @param status the status code
     * @param headers its header fields; in a response to send, without those about the connection and the length, which
     *     the server adds
     * @param body the body
     */
    public record Response(int status, List<Header> headers, byte[] body) {
        private static final byte[] NO_BODY = {};

        /** Returns a response without a body. */
        public static Response empty(int status) {
            return new Response(status, List.of(), NO_BODY);
        }
    }

    /** Sends the response to a request. */
    @FunctionalInterface
    public interface Responder {
        /**
         * Sends the response after those to earlier requests on the connection. Does nothing if the request already has
         * a response or the connection has closed. Must be called on the traffic loop.
         */
        void respond(Response response);
    }

    /** Creates the responses to requests that are rejected before they reach a {@link Handler}; none has run. */
    @FunctionalInterface
    public interface Rejections {
        /** Responses without a body. */
        Rejections EMPTY = (status, retryAfterMillis) -> retryAfterMillis == 0
                ? Response.empty(status)
                : new Response(
                        status,
                        List.of(new Header("Retry-After", Double.toString(retryAfterMillis / MILLIS_PER_SECOND))),
                        Response.NO_BODY);

        /**
         * Returns a response.
         *
         * @param status 400, 408, 413, 414, 431, or 503 for lack of memory
         * @param retryAfterMillis delay before the caller should retry; 0 if not known
         */
        Response create(int status, long retryAfterMillis);
    }

    /** Handles requests. Called on the traffic loop. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Starts to handle a request.
         *
         * @return cancels the work; called when the connection closes before the response
         */
        Cancellable handle(Request request, Responder responder);
    }
}
