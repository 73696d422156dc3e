package org.siskindyke.runtime.call;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Ends the connections to a backend server on which a response may reach a call that it is not for. Requests without a
 * call id pass unchecked.
 */
final class CallIdFilter implements StreamingHttpConnectionFilterFactory {
    @Override
    public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
        return new CheckedConnection(connection);
    }

    /** Returns whether a response names another call. */
    static boolean namesOther(CharSequence echoedId, String callId) {
        return echoedId != null && !callId.contentEquals(echoedId);
    }

    private static final class CheckedConnection extends StreamingHttpConnectionFilter {
        private CheckedConnection(FilterableStreamingHttpConnection connection) {
            super(connection);
        }

        @Override
        public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
            CharSequence id = request.headers().get(Headers.CALL_ID);
            if (id == null) {
                return delegate().request(request);
            }
            String callId = id.toString();
            return delegate().request(request).beforeOnSuccess(response -> check(callId, response));
        }

        private void check(String callId, StreamingHttpResponse response) {
            if (namesOther(response.headers().get(Headers.CALL_ID), callId)) {
                // The response to this call may still arrive, ahead of those to later calls.
                closeAsyncGracefully().subscribe();
            }
        }
    }
}
