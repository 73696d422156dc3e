package org.siskindyke.kernel.balance;

import java.util.List;

import org.siskindyke.kernel.id.MemberId;

/**
 * A proposal to move slices.
 *
 * @param from the owner
 * @param to the next owner
 * @param slices indexes of the slices
 * @param reason why, for the log
 */
public record MoveProposal(MemberId from, MemberId to, List<Integer> slices, String reason) {}
