package org.siskindyke.kernel.document;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.TargetName;

/**
 * A target and its limits.
 *
 * @param name names the target
 * @param failureDomain where it runs
 * @param slots calls it may run at a time
 * @param connections connections it accepts at a time
 */
public record TargetSpec(
        @JsonProperty(required = true) TargetName name,
        @JsonProperty(required = true) FailureDomain failureDomain,
        @JsonProperty(required = true) int slots,
        @JsonProperty(required = true) int connections) {}
