package org.siskindyke.runtime.call;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;

/**
 * Ends the connections to a backend server on which a response may reach a call that it is not for. Sends no call id
 * over a connection twice, since a late copy of the first response names it too. Requests without a call id pass
 * unchecked.
 */
final class CallIdFilter implements StreamingHttpConnectionFilterFactory {
    /** Calls that a connection carries, at most, since it remembers their ids. */
    private static final int MAX_CALLS = 512;

    /** Whether the backend server has ever named a call in a response. */
    private volatile boolean echoesIds;

    @Override
    public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
        return new CheckedConnection(connection);
    }

    /** Reports that a call was not sent because its connection, now closed, has carried one with its id. */
    static final class AlreadyCarriedException extends IOException implements RetryableException {
        private static final long serialVersionUID = 1L;

        private AlreadyCarriedException(String callId) {
            super("connection has carried call " + callId);
        }
    }

    /** Returns whether a response names another call. */
    static boolean namesOther(CharSequence echoedId, String callId) {
        return echoedId != null && !callId.contentEquals(echoedId);
    }

    private final class CheckedConnection extends StreamingHttpConnectionFilter {
        private final Set<String> carriedIds = ConcurrentHashMap.newKeySet();

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
            return Single.defer(() -> carriedIds.add(callId)
                    ? delegate()
                            .request(request)
                            .beforeOnSuccess(response -> check(callId, response))
                            .shareContextOnSubscribe()
                    : refuse(callId));
        }

        private Single<StreamingHttpResponse> refuse(String callId) {
            // Completes once the connection is closed, so that it is not selected again.
            return closeAsync().concat(Single.failed(new AlreadyCarriedException(callId)));
        }

        private void check(String callId, StreamingHttpResponse response) {
            CharSequence echoedId = response.headers().get(Headers.CALL_ID);
            echoesIds |= echoedId != null;
            // After it, the response to this call or a copy of it may still arrive, ahead of those to later calls.
            boolean isUncertain = namesOther(echoedId, callId) || echoedId == null && echoesIds;
            if (isUncertain || carriedIds.size() >= MAX_CALLS) {
                closeAsyncGracefully().subscribe();
            }
        }
    }
}
