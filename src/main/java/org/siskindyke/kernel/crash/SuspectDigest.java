package org.siskindyke.kernel.crash;

import java.util.List;

/**
 * Summarises what a router knows about suspected requests: a hash for each of {@value #BUCKETS} groups of requests, so
 * that two routers exchange the groups in which they differ only.
 *
 * @param buckets the hashes; empty where nothing is known
 */
public record SuspectDigest(List<Integer> buckets) {
    /** The digest of a router that knows of no suspected request. */
    public static final SuspectDigest NONE = new SuspectDigest(List.of());

    static final int BUCKETS = 8;

    /** Copies the list; one of another length, as no router sends, counts as empty. */
    public SuspectDigest {
        buckets = buckets.size() == BUCKETS ? List.copyOf(buckets) : List.of();
    }

    /** Returns whether another router knows something else about the requests in the group of a request. */
    boolean differsAt(RequestFingerprint request, SuspectDigest other) {
        return bucket(request) != other.bucket(request);
    }

    private int bucket(RequestFingerprint request) {
        return buckets.isEmpty() ? 0 : buckets.get(indexOf(request));
    }

    static int indexOf(RequestFingerprint request) {
        return (int) Math.floorMod(request.high(), (long) BUCKETS);
    }
}
