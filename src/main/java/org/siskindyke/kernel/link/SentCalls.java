package org.siskindyke.kernel.link;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A sender's record of its calls without a reply. Calls are sent over successive connections; {@link ReceivedCalls} is
 * the record of the receiver.
 *
 * <p>A call is sent again only after the receiver has answered, on a later connection, that it has not arrived. The
 * receiver processes nothing of earlier connections from that answer on, and its record is by call and outlives all
 * connections, so any number of questions about a call get consistent answers. A receiver whose record does not reach
 * back to the connection of a call may be another process; that call may have run.
 *
 * @param <C> the type of the calls
 */
public final class SentCalls<C extends SentCall> {
    private final Map<Long, C> sent = new LinkedHashMap<>();
    private final Set<C> waiting = new LinkedHashSet<>();
    private long nextId;
    private int connection;
    private boolean open;

    /** Creates an empty record, whose first call gets the id {@code firstId}. */
    public SentCalls(long firstId) {
        this.nextId = firstId;
    }

    /** Adds a call to be sent. */
    public void add(C call) {
        waiting.add(call);
    }

    /** Records that a connection was opened, and returns the question to send on it first. */
    public LinkQuestion open() {
        close();
        connection++;
        open = true;
        List<Long> pending = new ArrayList<>(sent.keySet());
        waiting.stream().filter(call -> call.id != 0).forEach(call -> pending.add(call.id));
        return new LinkQuestion(connection, pending);
    }

    /** Records that the open connection has ended or is no longer used. */
    public void close() {
        open = false;
        sent.values().removeIf(call -> !call.isKept());
    }

    /** Records that all waiting calls are sent on the open connection, and returns them in order. */
    public List<C> send() {
        List<C> calls = new ArrayList<>(waiting);
        waiting.clear();
        for (C call : calls) {
            if (call.id == 0) {
                call.id = nextId++;
            }
            call.connection = connection;
            call.confirmedOn = connection;
            sent.put(call.id, call);
        }
        return calls;
    }

    /**
     * Records the answer to the question of the open connection. Calls that have not arrived wait to be sent again.
     *
     * @return the calls that have arrived, those that have not, and those of which the receiver has no record, which
     *     are removed
     */
    public Settlement<C> settle(LinkAnswer answer) {
        Settlement<C> settlement = new Settlement<>(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        if (!open || answer.connection() != connection) {
            return settlement;
        }
        Set<Long> received = new HashSet<>(answer.received());
        for (C call : unconfirmed()) {
            if (answer.firstConnection() > call.connection) {
                sent.remove(call.id);
                settlement.lost().add(call);
            } else if (received.contains(call.id)) {
                call.confirmedOn = connection;
                settlement.received().add(call);
            } else {
                sent.remove(call.id);
                call.connection = 0;
                waiting.add(call);
                settlement.notReceived().add(call);
            }
        }
        return settlement;
    }

    /** Removes and returns the calls of which is not known whether they have arrived. */
    public List<C> loseUnconfirmed() {
        List<C> lost = unconfirmed();
        lost.forEach(call -> sent.remove(call.id));
        return lost;
    }

    /** Removes and returns the waiting calls, which have not arrived. */
    public List<C> removeWaiting() {
        List<C> removed = new ArrayList<>(waiting);
        waiting.clear();
        return removed;
    }

    /** Returns whether of some call is not known whether it has arrived on an earlier connection. */
    public boolean hasUnconfirmed() {
        return sent.values().stream().anyMatch(this::isUnconfirmed);
    }

    private List<C> unconfirmed() {
        return new ArrayList<>(
                sent.values().stream().filter(this::isUnconfirmed).toList());
    }

    private boolean isUnconfirmed(C call) {
        return !open || call.confirmedOn != connection;
    }

    /** Removes the call that a reply is for, and returns it; null where none waits for that reply. */
    public C removeAnswered(long id) {
        return sent.remove(id);
    }

    /** Removes a call, and returns whether it was recorded. */
    public boolean remove(C call) {
        return waiting.remove(call) || sent.remove(call.id, call);
    }

    /** Removes the calls that match a predicate. */
    public void removeIf(Predicate<C> predicate) {
        sent.values().removeIf(predicate);
        waiting.removeIf(predicate);
    }

    /** Returns the calls that were sent, in the order in which they were last sent; a view. */
    public Collection<C> sent() {
        return sent.values();
    }

    /** Returns whether calls wait to be sent. */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns whether no call is recorded. */
    public boolean isEmpty() {
        return sent.isEmpty() && waiting.isEmpty();
    }

    /** Returns the id of the next call that is sent for the first time. */
    public long nextId() {
        return nextId;
    }

    /**
     * What became of the calls of earlier connections.
     *
     * @param received those that have arrived and whose replies are still to come
     * @param notReceived those that have not arrived and are sent again
     * @param lost those of which it stays unknown
     * @param <C> the type of the calls
     */
    public record Settlement<C>(List<C> received, List<C> notReceived, List<C> lost) {
        /** Returns whether no call was in question. */
        public boolean isEmpty() {
            return received.isEmpty() && notReceived.isEmpty() && lost.isEmpty();
        }
    }
}
