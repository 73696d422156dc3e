package org.siskindyke.runtime.traffic;

import java.util.HashSet;
import java.util.Set;

/**
 * The requests that a connection has carried. Only hashes of their ids are kept, so a request that was not carried may
 * rarely appear to have been.
 */
final class CarriedRequests {
    private static final int MAX_IDS = 512;

    private final Set<Integer> idHashes = new HashSet<>();
    private int count;
    private String lastId;

    /** Records a request; its id is null where it has none. */
    void add(String requestId) {
        count++;
        lastId = requestId;
        if (requestId != null) {
            idHashes.add(requestId.hashCode());
        }
    }

    /** Returns whether a request with this id was recorded; never for a request without one. */
    boolean contains(String requestId) {
        return requestId != null && idHashes.contains(requestId.hashCode());
    }

    /** Returns whether no further request should be recorded. */
    boolean isFull() {
        return idHashes.size() >= MAX_IDS;
    }

    /** Returns the number of recorded requests. */
    int count() {
        return count;
    }

    /** Returns the id of the last recorded request; null where it has none. */
    String lastId() {
        return lastId;
    }
}
