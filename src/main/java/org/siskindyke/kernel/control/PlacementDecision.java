package org.siskindyke.kernel.control;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;

/**
 * A decision about who owns slices, for logs and status.
 *
 * @param kind what was decided
 * @param service the service; null where all of a member's services are concerned
 * @param from the owner before; null for none
 * @param to the owner after; null for none or several
 * @param slices how many slices are concerned
 * @param reason why
 * @param committed whether the table accepted it
 */
public record PlacementDecision(
        Kind kind, ServiceName service, MemberId from, MemberId to, int slices, String reason, boolean committed) {
    /** Kinds of decisions. */
    public enum Kind {
        /** Slices without an owner were given to members. */
        ASSIGN,
        /** A member was declared dead and its slices were given to others. */
        TAKEOVER,
        /** An owner handed slices to another. */
        MOVE,
        /** An owner refused to hand slices over. */
        MOVE_REFUSED
    }
}
