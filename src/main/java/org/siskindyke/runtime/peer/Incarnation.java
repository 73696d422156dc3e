package org.siskindyke.runtime.peer;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.runtime.call.TrafficState;

/**
 * One life of a router as a member.
 *
 * @param node its control state; for the control thread only
 * @param traffic what traffic threads know of it
 */
public record Incarnation(MemberController node, TrafficState traffic) {}
