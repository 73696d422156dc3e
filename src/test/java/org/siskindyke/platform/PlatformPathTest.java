package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformPathTest {
    private static final long LIMIT_MILLIS = 20_000;
    private static final String COUNT_OF_REFUSED =
            "siskindyke_requests_seconds_count{cause=\"NO_SERVICE\",route=\"null\",status=\"503\"}";

    @Example
    void requestsWithAndWithoutKeysPassTwoRoutersToTheirBackendServers() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertTrue(SelfCheck.run(new PrintStream(out, true, StandardCharsets.UTF_8)), out.toString());
    }

    @Example
    void metricsCountTheRequestsThatARouterAnswered() throws InterruptedException {
        LoopbackPath path = new LoopbackPath(new PrintStream(PrintStream.nullOutputStream()));
        LoopbackPath.Instance instance = path.start("plain", false, "a");
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (!path.metrics(instance).contains(COUNT_OF_REFUSED)) {
            path.request(instance, "/p/0", 0);
            assertTrue(System.nanoTime() < endNanos, () -> "no request is counted");
        }
    }
}
