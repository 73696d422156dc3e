package org.siskindyke.kernel.control;

import java.util.List;

import org.siskindyke.kernel.document.BalanceRule;
import org.siskindyke.kernel.document.CallRule;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.MatchRule;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.document.TargetSpec;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.id.TeamName;

/** Service documents for tests. */
final class Documents {
    private Documents() {}

    static ServiceDocument divided(ServiceName service, int slices, long timeoutMillis) {
        return new ServiceDocument(
                service,
                TeamName.of("team"),
                new MatchRule(List.of(), "/" + service),
                new KeyRule(true, KeyRule.KeySource.PATH_SEGMENT, null, 1, slices),
                List.of(new TargetSpec(TargetName.of("t"), FailureDomain.of("d"), 12, 120)),
                new CallRule(timeoutMillis, null, null, null, null, null, null),
                BalanceRule.EVEN);
    }
}
