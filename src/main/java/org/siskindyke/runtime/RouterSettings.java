package org.siskindyke.runtime;

import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;

/**
 * Settings of one router process.
 *
 * @param instance names the instance
 * @param failureDomain the instance's failure domain
 * @param host address to listen on and to be reached at, an IP number
 * @param callerPort TCP port for callers; 0 for any free one
 * @param peerPort TCP port for other routers; 0 for any free one
 * @param adminPort TCP port for operators and the backend server; 0 for any free one
 * @param targetPolicy names the policy that chooses targets of undivided services
 * @param slicePolicy names the policy that chooses slices to hand over
 * @param control settings of the control state machine
 * @param faultInjection whether the admin API may cut links, for trials
 */
public record RouterSettings(
        InstanceName instance,
        FailureDomain failureDomain,
        String host,
        int callerPort,
        int peerPort,
        int adminPort,
        String targetPolicy,
        String slicePolicy,
        ControlSettings control,
        boolean faultInjection) {
    /** Policy that chooses targets unless another is named. */
    public static final String DEFAULT_TARGET_POLICY = "two-choices";

    /** Policy that proposes moves unless another is named. */
    public static final String DEFAULT_SLICE_POLICY = "level-usage";

    /** Returns settings with free ports and defaults, for demonstrations and tests. */
    public static RouterSettings onFreePorts(String instance, String failureDomain) {
        return new RouterSettings(
                InstanceName.of(instance),
                FailureDomain.of(failureDomain),
                "127.0.0.1",
                0,
                0,
                0,
                DEFAULT_TARGET_POLICY,
                DEFAULT_SLICE_POLICY,
                ControlSettings.DEFAULT,
                false);
    }
}
