package org.siskindyke.runtime.call;

import org.siskindyke.kernel.call.IdempotencyCache;
import org.siskindyke.kernel.call.SlotQueue;
import org.siskindyke.kernel.crash.SuspectLane;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.membership.TargetAnnouncement;

/** The backend server of one service beside this router, with its client, slots and remembered Idempotency-Keys. */
public final class LocalTarget implements AutoCloseable {
    private static final int DEFAULT_SLOTS = 1;

    private final TargetAnnouncement announcement;
    private final BackendClient client;
    private final SlotQueue slots;
    private final IdempotencyCache<Reply> idempotencyCache = new IdempotencyCache<>();
    private final SuspectLane<Call> suspectLane = new SuspectLane<>(0);
    private volatile boolean accepting;

    /**
     * Creates the target.
     *
     * @param announcement the backend server
     * @param document its service's document; null if not known yet, then the target has one slot and no queue
     */
    public LocalTarget(TargetAnnouncement announcement, ServiceDocument document) {
        this.announcement = announcement;
        this.accepting = announcement.accepting();
        int connections = document == null
                ? DEFAULT_SLOTS
                : document.target(announcement.target())
                        .map(t -> t.connections())
                        .orElse(DEFAULT_SLOTS);
        this.client = new BackendClient(announcement, connections);
        this.slots = new SlotQueue(slotsOf(document, announcement), queueLengthOf(document));
    }

    /** Applies the slots and queue length of a changed document; its {@code connections} only apply to a new target. */
    public void applyDocument(ServiceDocument document, long nowMillis) {
        slots.resize(slotsOf(document, announcement), queueLengthOf(document), nowMillis);
    }

    /** Returns the announcement that the target was created from. */
    public TargetAnnouncement announcement() {
        return announcement;
    }

    /** Returns whether the backend server accepts new work. */
    public boolean isAccepting() {
        return accepting;
    }

    /** Sets whether the backend server accepts new work. */
    public void setAccepting(boolean newAccepting) {
        accepting = newAccepting;
    }

    public BackendClient client() {
        return client;
    }

    public SlotQueue slots() {
        return slots;
    }

    /** Returns the cache of Idempotency-Keys and their replies. */
    public IdempotencyCache<Reply> idempotencyCache() {
        return idempotencyCache;
    }

    /** Returns the lane in which suspected calls run one at a time. */
    SuspectLane<Call> suspectLane() {
        return suspectLane;
    }

    @Override
    public void close() {
        client.close();
    }

    private static int slotsOf(ServiceDocument document, TargetAnnouncement announcement) {
        return document == null
                ? DEFAULT_SLOTS
                : document.target(announcement.target()).map(t -> t.slots()).orElse(DEFAULT_SLOTS);
    }

    private static int queueLengthOf(ServiceDocument document) {
        return document == null ? 0 : document.calls().queueLength();
    }
}
