package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetAnnouncement;

import static org.junit.jupiter.api.Assertions.assertEquals;

class JoinTargetsTest {
    private static TargetAnnouncement target(String name) {
        return new TargetAnnouncement(ServiceName.of("s"), TargetName.of(name), "127.0.0.1", 1, true, true);
    }

    private static Optional<MemberRow> predecessor(TargetAnnouncement target) {
        InstanceName instance = InstanceName.of("i");
        return Optional.of(new MemberRow(
                MemberId.of(instance, 1),
                instance,
                FailureDomain.of("d"),
                new MemberAddress("127.0.0.1", 1, 2, 3),
                MemberState.ALIVE,
                1,
                MemberId.TABLE,
                List.of(target),
                null,
                null,
                List.of()));
    }

    /**
     * Guards against slices that move to other members while the predecessor's backend server still has grants for
     * them: the router joined before the first heartbeat of its backend server and announced no target.
     */
    @Example
    void aRouterThatJoinsBeforeTheFirstHeartbeatAnnouncesItsPredecessorsTargets() {
        assertEquals(List.of(target("old")), MemberRegistration.targetsAtJoin(List.of(), predecessor(target("old"))));
        assertEquals(
                List.of(target("new")),
                MemberRegistration.targetsAtJoin(List.of(target("new")), predecessor(target("old"))));
        assertEquals(List.of(), MemberRegistration.targetsAtJoin(List.of(), Optional.empty()));
    }
}
