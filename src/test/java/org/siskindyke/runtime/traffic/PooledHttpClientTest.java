package org.siskindyke.runtime.traffic;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.SystemMonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Calls a server whose responses do not name their requests. */
class PooledHttpClientTest {
    private static final int CALLS = 20;
    private static final long SHORT_TIMEOUT_MILLIS = 100;
    private static final long TIMEOUT_MILLIS = 10_000;

    private final TrafficLoop traffic = new TrafficLoop();
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean withholds;

    @AfterTry
    void stop() {
        traffic.close();
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** While it withholds answers, writes them only ahead of the next one on their connection. */
    private final class LateServer implements RawHttpServer.TextScript {
        private String withheld = "";

        @Override
        public String respond(String id) {
            if (withholds) {
                withheld += response("late");
                return "";
            }
            return withheld + response("own");
        }
    }

    /** Guards against an answer that comes after its call has timed out and is taken for that of a later call. */
    @Example
    void anAnswerAfterTheTimeoutOfItsCallReachesNoOtherCall() throws Exception {
        try (RawHttpServer server = RawHttpServer.ofTexts(LateServer::new)) {
            PooledHttpClient client = new PooledHttpClient(traffic, SystemMonotonicClock.INSTANCE, server.address());
            for (int i = 0; i < CALLS; i++) {
                withholds = true;
                assertThrows(ExecutionException.class, () -> call(client, SHORT_TIMEOUT_MILLIS));
                withholds = false;
                assertEquals("own", call(client, TIMEOUT_MILLIS));
            }
        }
    }

    /** Guards against the second of two equal answers that is taken for that of the next call. */
    @Example
    void anAnswerThatIsWrittenTwiceReachesNoOtherCall() throws Exception {
        try (RawHttpServer server = RawHttpServer.ofTexts(() -> id -> {
            String response = response(Integer.toString(requests.incrementAndGet()));
            return response + response;
        })) {
            PooledHttpClient client = new PooledHttpClient(traffic, SystemMonotonicClock.INSTANCE, server.address());
            for (int number = 1; number <= CALLS; number++) {
                assertEquals(Integer.toString(number), call(client, TIMEOUT_MILLIS));
            }
        }
    }

    private static String call(PooledHttpClient client, long timeoutMillis) throws Exception {
        byte[] body = client.call("GET", "/a", new byte[0], timeoutMillis)
                .toCompletableFuture()
                .get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body();
        return new String(body, StandardCharsets.UTF_8);
    }
}
