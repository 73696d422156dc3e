package org.siskindyke.runtime.peer;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.runtime.call.MemberServingState;

/**
 * One run of a router as a member. A router that rejoins after it was declared dead has a new incarnation.
 *
 * @param controller the member's control state; for the control thread only
 * @param servingState the state by which traffic threads decide whether the member may serve a call
 */
public record Incarnation(MemberController controller, MemberServingState servingState) {}
