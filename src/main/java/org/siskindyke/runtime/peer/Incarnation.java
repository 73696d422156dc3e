package org.siskindyke.runtime.peer;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.runtime.call.MemberServingState;

/**
 * One life of a router as a member.
 *
 * @param controller its control state; for the control thread only
 * @param servingState what traffic threads know of it
 */
public record Incarnation(MemberController controller, MemberServingState servingState) {}
