package org.siskindyke.runtime;

import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;

/**
 * Settings of one router process.
 *
 * @param instance the instance that the router runs on
 * @param failureDomain the instance's failure domain
 * @param host IP address to listen on, at which others reach the router
 * @param callerPort TCP port for callers; 0 for any free port
 * @param peerPort TCP port for other routers; 0 for any free port
 * @param adminPort TCP port for operators and the backend server; 0 for any free port
 * @param targetPolicy name of the policy that chooses targets for undivided services
 * @param slicePolicy name of the policy that chooses slices to hand over
 * @param control settings of the control state machine
 * @param faultInjection whether the admin API may cut links to other routers, for trials
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
    /** Name of the default {@link #targetPolicy()}. */
    public static final String DEFAULT_TARGET_POLICY = "two-choices";

    /** Name of the default {@link #slicePolicy()}. */
    public static final String DEFAULT_SLICE_POLICY = "level-usage";

    /** Returns default settings with any free ports on 127.0.0.1, for demonstrations. */
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
