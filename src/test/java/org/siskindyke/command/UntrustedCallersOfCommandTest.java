package org.siskindyke.command;

import java.io.IOException;

import net.jqwik.api.Example;
import org.siskindyke.crowd.CallerCrowd;
import org.siskindyke.crowd.CrowdedProcess;

/** Guards against callers that keep the router command from ever answering again by what it holds for them. */
class UntrustedCallersOfCommandTest {
    private static final int CONNECTIONS = 300;
    private static final int FIELD_BYTES = 16_000;
    private static final int BODY_BYTES = 60_000;
    private static final int LARGE_BODY_BYTES = 1_000_000;
    private static final int SMALL_CHUNKS = 10_000;
    private static final int TURN_BYTES = 65_536;
    private static final String HEAD = "POST /p/crowd HTTP/1.1\r\nHost: 127.0.0.1\r\n";
    private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    @Example
    void unfinishedHeaderSectionsLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(HEAD + "a:\r\n".repeat(FIELD_BYTES / 4));
    }

    @Example
    void unfinishedBodiesLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(unfinishedBody(BODY_BYTES));
    }

    @Example
    void largeUnfinishedBodiesLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(unfinishedBody(LARGE_BODY_BYTES));
    }

    @Example
    void unfinishedBodiesInOneByteChunksLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(CHUNKED_HEAD + "1\r\nx\r\n".repeat(SMALL_CHUNKS));
    }

    @Example
    void unfinishedBodiesInOneLargeChunkLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(CHUNKED_HEAD + Integer.toHexString(BODY_BYTES) + "\r\n" + "x".repeat(BODY_BYTES - 1));
    }

    private static String unfinishedBody(int bytes) {
        return HEAD + "Content-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes - 1);
    }

    private static void assertOutlives(String sent) throws IOException, InterruptedException {
        try (CrowdedCommandRouter router = new CrowdedCommandRouter()) {
            CrowdedProcess process = router.process();
            try (CallerCrowd crowd = new CallerCrowd(process.callers(), CONNECTIONS, sent)) {
                crowd.sendInTurns(TURN_BYTES);
                process.assertServes();
            }
            process.assertServesAsBefore();
        }
    }
}
