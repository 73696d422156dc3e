package org.siskindyke.kernel.crash;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.crash.CrashInvestigation.Loss;
import org.siskindyke.kernel.id.ClientAccount;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CrashInvestigationTest {
    private static final ClientAccount CALLER = ClientAccount.of("catalogue");
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);
    private static final RequestFingerprint EARLIER = new RequestFingerprint(3, 4);

    private final CrashInvestigation investigation = new CrashInvestigation();

    private void lose(RequestFingerprint request, long atMillis) {
        investigation.onLost(new Loss(request, CALLER, false, atMillis));
    }

    private static List<RequestFingerprint> requests(List<Loss> losses) {
        return losses.stream().map(Loss::request).toList();
    }

    @Example
    void requestsThatWereRunningWhenTheAddressRefusesConnectionsAreSuspects() {
        lose(REQUEST, 1_000);
        assertEquals(List.of(REQUEST), requests(investigation.onRefused(1_020)));
        assertTrue(investigation.onStarted(2_000).isEmpty());
    }

    @Example
    void aServerThatIsBackAtOnceHasCrashedIfItSaysThatItStartedAgain() {
        lose(REQUEST, 1_000);
        investigation.onConnected();
        assertEquals(List.of(REQUEST), requests(investigation.onStarted(2_000)));
    }

    @Example
    void aConnectionThatWasResetOnTheWayIsNoCrash() {
        lose(REQUEST, 1_000);
        investigation.onConnected();
        investigation.onAlive();
        assertTrue(investigation.onStarted(2_000).isEmpty());
    }

    @Example
    void aHeartbeatFromBeforeTheCrashDoesNotHideIt() {
        lose(REQUEST, 1_000);
        investigation.onAlive();
        assertEquals(List.of(REQUEST), requests(investigation.onRefused(1_020)));
    }

    @Example
    void aPlannedStopIsNoCrash() {
        investigation.onLeaving();
        lose(REQUEST, 1_000);
        assertTrue(investigation.onRefused(1_020).isEmpty());
        assertTrue(investigation.onStarted(2_000).isEmpty());
        lose(REQUEST, 3_000);
        assertEquals(List.of(REQUEST), requests(investigation.onRefused(3_020)));
    }

    @Example
    void aServerThatStartsAgainWithoutLostConnectionsLeavesNoSuspects() {
        assertTrue(investigation.onStarted(1_000).isEmpty());
    }

    @Example
    void connectionsThatWereLostLongBeforeTheCrashAreNoEvidence() {
        lose(EARLIER, 1_000);
        lose(REQUEST, 1_000 + CrashInvestigation.SAME_CRASH_MILLIS + 1);
        assertEquals(List.of(REQUEST), requests(investigation.onRefused(1_600)));
    }

    @Example
    void aLossIsForgottenBeforeALaterRestart() {
        lose(REQUEST, 1_000);
        assertTrue(investigation
                .onStarted(1_001 + CrashInvestigation.RESTART_MILLIS)
                .isEmpty());
    }
}
