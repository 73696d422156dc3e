package org.siskindyke.kernel.document;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.id.TeamName;

/**
 * The configuration of a service, written by its team.
 *
 * @param service name of the service
 * @param team team that owns the document
 * @param match selects the calls of the service
 * @param keys where a call contains its key, and whether keys are divided among targets
 * @param targets the targets
 * @param calls timeouts, queue limits and retry rules
 * @param balance how unavailable time is weighed against churn; equal weights by default
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

    /** Returns whether no required field is missing, as in a text that no {@code DocumentReader} has checked. */
    public boolean hasRequiredFields() {
        return service != null && team != null && match != null && keys != null && calls != null;
    }

    /** Returns the target with a name; empty if there is none. */
    public Optional<TargetSpec> target(TargetName name) {
        return targets.stream().filter(t -> t.name().equals(name)).findFirst();
    }
}
