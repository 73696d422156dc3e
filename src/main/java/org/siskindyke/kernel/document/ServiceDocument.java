package org.siskindyke.kernel.document;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.id.TeamName;

/**
 * What a team declares about its service.
 *
 * @param service names the service
 * @param team owns the document
 * @param match which calls are for the service
 * @param keys how the key of a call is found and whether keys are divided among targets
 * @param targets the targets, by name
 * @param calls how calls may be treated
 * @param balance how unavailable time weighs against churn
 */
public record ServiceDocument(
        @JsonProperty(required = true) ServiceName service,
        @JsonProperty(required = true) TeamName team,
        @JsonProperty(required = true) MatchRule match,
        @JsonProperty(required = true) KeyRule keys,
        @JsonProperty(required = true) List<TargetSpec> targets,
        @JsonProperty(required = true) CallRule calls,
        BalanceRule balance) {
    /** Copies the list and fills in defaults. */
    public ServiceDocument {
        targets = targets == null ? List.of() : List.copyOf(targets);
        balance = balance == null ? BalanceRule.EVEN : balance;
    }

    /** Returns a target by name. */
    public Optional<TargetSpec> target(TargetName name) {
        return targets.stream().filter(t -> t.name().equals(name)).findFirst();
    }
}
