package org.siskindyke.runtime.call;

import org.siskindyke.kernel.call.IdempotencyCache;
import org.siskindyke.kernel.call.SlotQueue;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.membership.TargetAnnouncement;

/** The backend server of one service beside this router, with its limits. */
public final class LocalTarget implements AutoCloseable {
    private static final int DEFAULT_SLOTS = 1;

    private final TargetAnnouncement announcement;
    private final BackendClient client;
    private final SlotQueue slots;
    private final IdempotencyCache<Reply> resends = new IdempotencyCache<>();
    private volatile boolean accepting;

    /**
     * Creates the target.
     *
     * @param announcement the backend server
     * @param document its service's document; null while it is not known
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

    /** Follows a change of the document. */
    public void applyDocument(ServiceDocument document, long nowMillis) {
        slots.resize(slotsOf(document, announcement), queueLengthOf(document), nowMillis);
    }

    /** Returns the backend server. */
    public TargetAnnouncement announcement() {
        return announcement;
    }

    /** Tells whether the backend server takes new work. */
    public boolean isAccepting() {
        return accepting;
    }

    /** Records whether the backend server takes new work. */
    public void setAccepting(boolean takesNewWork) {
        accepting = takesNewWork;
    }

    /** Returns the client. */
    public BackendClient client() {
        return client;
    }

    /** Returns the slots. */
    public SlotQueue slots() {
        return slots;
    }

    /** Returns the remembered Idempotency-Keys. */
    public IdempotencyCache<Reply> resends() {
        return resends;
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
