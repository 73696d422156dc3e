package org.siskindyke.kernel.link;

import net.jqwik.api.Example;
import org.siskindyke.kernel.link.LinkHistory.PlantedFault;

import static org.junit.jupiter.api.Assertions.assertThrows;

class LinkHistoryTest {
    /** More are searched by hand, with {@code -Dsiskindyke.histories=100000}. */
    private static final int HISTORIES = Integer.getInteger("siskindyke.histories", 2_000);

    /** Guards against calls that run twice, or after "not run", when connections are reset several times in a row. */
    @Example
    void aCallRunsOnceAndHasOneTrueOutcomeWhateverHappensToConnections() {
        search(PlantedFault.NONE);
    }

    @Example
    void theSearchFindsARecordThatBeginsAnewWithEachConnection() {
        assertFinds(PlantedFault.RECORD_OF_ONE_CONNECTION);
    }

    @Example
    void theSearchFindsAConnectionThatIsUsedAfterItsSuccessor() {
        assertFinds(PlantedFault.SUPERSEDED_CONNECTION_USED);
    }

    @Example
    void theSearchFindsASenderThatDoesNotNoticeARestart() {
        assertFinds(PlantedFault.RESTART_NOT_NOTICED);
    }

    private static void assertFinds(PlantedFault fault) {
        assertThrows(AssertionError.class, () -> search(fault));
    }

    private static void search(PlantedFault fault) {
        for (long seed = 0; seed < HISTORIES; seed++) {
            try {
                new LinkHistory(seed, fault).run();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }
}
