package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformPathTest {
    @Example
    void requestsWithAndWithoutKeysPassTwoRoutersToTheirBackendServers() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertTrue(SelfCheck.run(new PrintStream(out, true, StandardCharsets.UTF_8)), out.toString());
    }
}
