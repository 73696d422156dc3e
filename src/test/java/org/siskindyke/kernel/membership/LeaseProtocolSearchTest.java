package org.siskindyke.kernel.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.siskindyke.kernel.membership.LeaseProtocolModel.Action;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Searches the interleavings of three members breadth first, up to a maximum number of states, for one in which a dead
 * member has a valid lease.
 */
class LeaseProtocolSearchTest {
    private static final int STATES_OF_REAL_PROTOCOL = Integer.getInteger("search.states", 700_000);
    private static final int STATES_TO_FIND_A_MUTATION = 1_000_000;
    private static final Action[] ACTIONS = Action.values();

    private int states;

    @Example
    void noInterleavingLetsADeadMemberServe() {
        Optional<String> violation = search(BrokenLeases.NONE, STATES_OF_REAL_PROTOCOL);
        assertEquals(Optional.empty(), violation);
        assertTrue(states >= STATES_OF_REAL_PROTOCOL, "the search ended early, after " + states + " states");
    }

    @Property
    void eachBrokenRuleIsFound(@ForAll("mutations") BrokenLeases mutation) {
        boolean found = search(mutation, STATES_TO_FIND_A_MUTATION).isPresent();
        assertTrue(found, mutation + " was not found in " + states + " states");
    }

    @Provide
    Arbitrary<BrokenLeases> mutations() {
        return Arbitraries.of(Arrays.stream(BrokenLeases.values())
                .filter(m -> m != BrokenLeases.NONE)
                .toList());
    }

    /** Returns the shortest sequence of actions that breaks the invariant; empty if none was found. */
    private Optional<String> search(BrokenLeases mutation, int maxStates) {
        Set<HashCode> seen = new HashSet<>();
        Deque<byte[]> paths = new ArrayDeque<>();
        paths.add(new byte[0]);
        while (!paths.isEmpty() && seen.size() < maxStates) {
            byte[] path = paths.remove();
            for (int action = 0; action < ACTIONS.length; action++) {
                LeaseProtocolModel model = replay(mutation, path);
                if (!model.step(ACTIONS[action])) {
                    continue;
                }
                byte[] next = Arrays.copyOf(path, path.length + 1);
                next[path.length] = (byte) action;
                if (!model.isSafe()) {
                    states = seen.size();
                    return Optional.of(describe(next));
                }
                if (seen.add(Hashing.murmur3_128().hashString(model.toString(), StandardCharsets.UTF_8))) {
                    paths.add(next);
                }
            }
        }
        states = seen.size();
        return Optional.empty();
    }

    private static LeaseProtocolModel replay(BrokenLeases mutation, byte[] path) {
        LeaseProtocolModel model = new LeaseProtocolModel(mutation);
        for (byte action : path) {
            model.step(ACTIONS[action]);
        }
        return model;
    }

    private static String describe(byte[] path) {
        StringBuilder text = new StringBuilder();
        for (byte action : path) {
            text.append(ACTIONS[action]).append(' ');
        }
        return text.toString();
    }
}
