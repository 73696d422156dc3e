package org.siskindyke.kernel.control;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;

/**
 * A decision on the owners of slices and its outcome, for logs and status.
 *
 * @param kind the kind of decision
 * @param service the service; null where the decision concerns all services of a member
 * @param from the previous owner; null for none
 * @param to the new owner, or the joining member of a takeover; null where there is none or may be several
 * @param slices number of slices
 * @param reason the reason, for the log
 * @param committed whether the transaction took effect
 */
public record PlacementDecision(
        Kind kind, ServiceName service, MemberId from, MemberId to, int slices, String reason, boolean committed) {
    /** Kinds of decisions. */
    public enum Kind {
        /** Slices without an owner were assigned to members. */
        ASSIGN,
        /** A member was declared dead and its slices were assigned to others. */
        TAKEOVER,
        /** An owner released slices to another member, or without a new owner. */
        MOVE,
        /** An owner refused to hand slices over. */
        MOVE_REFUSED
    }
}
