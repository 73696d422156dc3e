package org.siskindyke.kernel.document;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.TargetName;

/**
 * A target, which is the backend server beside one router, and its limits.
 *
 * @param name name of the target
 * @param failureDomain failure domain in which it runs
 * @param slots calls that it may run concurrently
 * @param connections connections that it accepts concurrently
 */
public record TargetSpec(
        @JsonProperty(required = true) TargetName name,
        @JsonProperty(required = true) FailureDomain failureDomain,
        @JsonProperty(required = true) int slots,
        @JsonProperty(required = true) int connections) {}
