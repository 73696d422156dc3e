package org.siskindyke.kernel.crash;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.siskindyke.kernel.id.ClientAccount;

/**
 * Decides whether lost connections to one backend server mean that it has ended, and which requests it ran then. A
 * lost connection alone is no proof: it may have been reset on the way. The proof is that the address refuses
 * connections, or that the backend server has started again. Confined to one thread.
 */
public final class CrashInvestigation {
    /** Time within which all connections of a backend server that ends are lost. */
    static final long SAME_CRASH_MILLIS = 500;
    /** How long after a loss a new start of the backend server proves that it had ended. */
    static final long RESTART_MILLIS = 10_000;

    private static final int MAX_LOSSES = 256;

    private final Deque<Loss> losses = new ArrayDeque<>();
    private boolean connectedSinceLoss;
    private boolean leaving;

    /**
     * A request whose connection was lost before its response was known to be complete.
     *
     * @param request the request
     * @param caller who sent it
     * @param suspected whether it was suspected before, so that it ran in a {@link SuspectLane}
     * @param atMillis when the connection was lost
     */
    public record Loss(RequestFingerprint request, ClientAccount caller, boolean suspected, long atMillis) {}

    /** Records a request whose connection was lost; ignored while the backend server is leaving. */
    public void onLost(Loss lost) {
        long nowMillis = lost.atMillis();
        if (leaving) {
            return;
        }
        losses.removeIf(loss -> nowMillis - loss.atMillis() > RESTART_MILLIS);
        if (losses.size() < MAX_LOSSES) {
            losses.add(lost);
        }
        connectedSinceLoss = false;
    }

    /** Records that the backend server accepts connections: it has not ended, or has started again already. */
    public void onConnected() {
        connectedSinceLoss = true;
    }

    /**
     * Records that the backend server's address refuses connections.
     *
     * @return the requests that it ran when it ended; empty if it has ended as planned or no connection was lost
     */
    public List<Loss> onRefused(long nowMillis) {
        return takeLosses(nowMillis);
    }

    /** Records that the backend server has started again; returns the requests that it ran when it ended. */
    public List<Loss> onStarted(long nowMillis) {
        List<Loss> suspects = takeLosses(nowMillis);
        leaving = false;
        return suspects;
    }

    /** Records a sign of life of the same incarnation, so that the connections were lost on the way. */
    public void onAlive() {
        if (connectedSinceLoss) {
            losses.clear();
        }
    }

    /** Records that the backend server will end as planned, which is no crash. */
    public void onLeaving() {
        leaving = true;
        losses.clear();
    }

    private List<Loss> takeLosses(long nowMillis) {
        losses.removeIf(loss -> nowMillis - loss.atMillis() > RESTART_MILLIS);
        if (losses.isEmpty()) {
            return List.of();
        }
        long lastMillis = losses.peekLast().atMillis();
        List<Loss> suspects = losses.stream()
                .filter(loss -> lastMillis - loss.atMillis() <= SAME_CRASH_MILLIS)
                .toList();
        losses.clear();
        return suspects;
    }
}
