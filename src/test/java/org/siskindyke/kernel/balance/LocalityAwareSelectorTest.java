package org.siskindyke.kernel.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LocalityAwareSelectorTest {
    private static final long NOW_MILLIS = 10_000;
    private final Map<MemberId, ReportedTargetLoad> loads = new HashMap<>();
    private final LocalityAwareSelector selector = new LocalityAwareSelector(FailureDomain.of("here"));
    private final MemberRow near = member("near", "here");
    private final MemberRow far = member("far", "there");

    private static MemberRow member(String name, String domain) {
        MemberId id = MemberId.of(InstanceName.of(name), 1);
        MemberAddress address = new MemberAddress("127.0.0.1", 1, 2, 3);
        return new MemberRow(
                id,
                InstanceName.of(name),
                FailureDomain.of(domain),
                address,
                MemberState.ALIVE,
                1,
                MemberId.TABLE,
                List.of(),
                null,
                null,
                List.of());
    }

    private ReportedTargetLoad load(MemberId id) {
        return loads.computeIfAbsent(id, i -> new ReportedTargetLoad());
    }

    private MemberRow choose(long remainingMillis, Set<MemberId> tried) {
        return selector.choose(List.of(far, near), tried, this::load, remainingMillis, NOW_MILLIS)
                .orElseThrow();
    }

    @Example
    void callsStayInTheirDomainWhileTheyEndInTime() {
        load(near.id()).onReport(new TargetLoadReport(4, 4, 2, 100, 0), NOW_MILLIS);
        load(far.id()).onReport(new TargetLoadReport(4, 0, 0, 100, 0), NOW_MILLIS);
        assertEquals(near, choose(300, Set.of()));
    }

    /** The target in the own domain is full and others are free: calls that would be late there go to another one. */
    @Example
    void callsThatWouldBeLateInTheirDomainGoToAnother() {
        load(near.id()).onReport(new TargetLoadReport(4, 4, 20, 100, 0), NOW_MILLIS);
        load(far.id()).onReport(new TargetLoadReport(4, 0, 0, 100, 0), NOW_MILLIS);
        assertEquals(far, choose(300, Set.of()));
    }

    /** Guards against the cost of another failure domain for calls that are late anyway, when all are overloaded. */
    @Example
    void aCallThatIsLateInAllDomainsStaysInItsOwn() {
        load(near.id()).onReport(new TargetLoadReport(4, 4, 24, 100, 0), NOW_MILLIS);
        load(far.id()).onReport(new TargetLoadReport(4, 4, 20, 100, 0), NOW_MILLIS);
        assertEquals(near, choose(300, Set.of()));
    }

    @Example
    void aTargetThatCouldNotBeReachedIsTheLastChoice() {
        load(near.id()).avoidUntil(NOW_MILLIS + 1_000);
        assertEquals(far, choose(300, Set.of()));
        assertEquals(near, choose(300, Set.of(far.id())));
    }

    @Example
    void aTargetThatWasTriedIsNotChosenAgain() {
        assertTrue(selector.choose(List.of(near), Set.of(near.id()), this::load, 300, NOW_MILLIS)
                .isEmpty());
    }
}
