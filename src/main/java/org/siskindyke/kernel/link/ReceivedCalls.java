package org.siskindyke.kernel.link;

import java.util.Collections;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A receiver's record of the calls of one sender that have arrived, whatever connection they came on. Once the sender
 * no longer asks about an id, it counts as received and takes no room. {@link SentCalls} is the other side.
 */
public final class ReceivedCalls {
    /** The last id of each range of received ids, by the first one. */
    private final NavigableMap<Long, Long> ranges = new TreeMap<>();

    private int firstConnection;
    private int connection;

    /**
     * Records that a connection was opened.
     *
     * @return the answer to its question; empty if a later connection was opened before, so that nothing that arrives
     *     on this one may be processed
     */
    public Optional<LinkAnswer> open(LinkQuestion question) {
        if (question.connection() <= connection) {
            return Optional.empty();
        }
        connection = question.connection();
        if (firstConnection == 0) {
            firstConnection = connection;
        }
        if (question.pending().isEmpty()) {
            mergeBefore(Long.MAX_VALUE);
        } else {
            mergeBefore(Collections.min(question.pending()));
        }
        return Optional.of(new LinkAnswer(
                connection,
                firstConnection,
                question.pending().stream().filter(this::hasReceived).toList()));
    }

    /** Counts all ids up to the last received one below {@code id} as received. */
    private void mergeBefore(long id) {
        NavigableMap<Long, Long> settled = ranges.headMap(id, false);
        if (!settled.isEmpty()) {
            long last = settled.lastEntry().getValue();
            settled.clear();
            ranges.put(0L, last);
        }
    }

    /** Records that a call has arrived, and returns whether it had not arrived before. */
    public boolean receive(long id) {
        if (hasReceived(id)) {
            return false;
        }
        Map.Entry<Long, Long> before = ranges.floorEntry(id);
        long first = before != null && before.getValue() == id - 1 ? before.getKey() : id;
        Long lastOfNext = ranges.remove(id + 1);
        ranges.put(first, lastOfNext == null ? id : lastOfNext);
        return true;
    }

    private boolean hasReceived(long id) {
        Map.Entry<Long, Long> range = ranges.floorEntry(id);
        return range != null && id <= range.getValue();
    }

    /** Returns the number of ranges of ids that are kept. */
    int rangeCount() {
        return ranges.size();
    }
}
