package org.siskindyke.kernel.balance;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.ownership.HeldSlice;

/** Levels the number of slices; a service that prefers few moves tolerates a quarter more than the mean. */
@AutoService(SliceBalancePolicy.class)
public final class SliceCountPolicy implements SliceBalancePolicy {
    private static final int MOST_SLICES_IN_A_MOVE = 64;
    private static final double TOLERANCE_OF_FEW_MOVES = 0.25;

    @Override
    public String name() {
        return "slice-count";
    }

    @Override
    public Optional<MoveProposal> propose(ServiceDocument document, List<MemberLoad> members) {
        if (members.size() < 2) {
            return Optional.empty();
        }
        Comparator<MemberLoad> byCount =
                Comparator.comparingInt((MemberLoad m) -> m.slices().size()).thenComparing(MemberLoad::member);
        MemberLoad most = members.stream().max(byCount).orElseThrow();
        MemberLoad least = members.stream().min(byCount).orElseThrow();
        int difference = most.slices().size() - least.slices().size();
        double mean =
                members.stream().mapToInt(m -> m.slices().size()).average().orElseThrow();
        double tolerance = document.balance().prefersFewMoves() ? mean * TOLERANCE_OF_FEW_MOVES : 1;
        if (difference <= Math.max(1, tolerance)) {
            return Optional.empty();
        }
        int count = Math.min(MOST_SLICES_IN_A_MOVE, difference / 2);
        List<Integer> slices =
                most.slices().stream().limit(count).map(HeldSlice::index).toList();
        return Optional.of(new MoveProposal(most.member(), least.member(), slices, "slice counts differ"));
    }
}
