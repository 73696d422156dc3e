package org.siskindyke.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.place.EvacuationOrder;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Reads the rows by which operators evacuate failure domains. A row that is missing in an answer is no proof that it
 * was removed, since reads may be stale; a transaction without writes tells.
 */
final class EvacuationRows {
    /** What the keys of the rows begin with; the name of the failure domain follows. */
    static final String KEY_PREFIX = "evacuate/";
    /** The first key after those of the rows. */
    static final String KEYS_END = "evacuate0";

    private static final String TABLE = "op";
    /** Conditions of a transaction, at most; the store accepts 100. */
    private static final int MAX_CONDITIONS = 90;
    /** Delay before a check that failed is repeated. */
    private static final long RETRY_DELAY_MILLIS = 1_000;

    private final StoreClient store;
    private final TrafficLoop traffic;
    private final Set<FailureDomain> listedDomains;
    private final Supplier<List<EvacuationOrder>> known;
    private final Consumer<List<EvacuationOrder>> onOrders;
    private final EventLog log;

    /**
     * Creates a reader.
     *
     * @param store the store
     * @param traffic delays calls
     * @param listedDomains the failure domains that the settings list; orders for them may be new
     * @param known returns the orders that this router knows, in force and removed
     * @param onOrders receives the orders that were read
     * @param log receives an event for each row that names no failure domain
     */
    EvacuationRows(
            StoreClient store,
            TrafficLoop traffic,
            Set<FailureDomain> listedDomains,
            Supplier<List<EvacuationOrder>> known,
            Consumer<List<EvacuationOrder>> onOrders,
            EventLog log) {
        this.store = store;
        this.traffic = traffic;
        this.listedDomains = Set.copyOf(listedDomains);
        this.known = known;
        this.onOrders = onOrders;
        this.log = log;
    }

    /**
     * Passes on the orders in rows of the table.
     *
     * @param rows rows, of which those of other keys are left out
     * @param era the era of their versions
     * @param mayBeOld whether they may have been written long ago
     */
    void offer(List<StoreRow> rows, long era, boolean mayBeOld) {
        List<EvacuationOrder> orders = new ArrayList<>();
        for (StoreRow row : rows) {
            if (row.key().startsWith(KEY_PREFIX)) {
                addOrder(orders, row, era, mayBeOld ? EvacuationOrder.UNKNOWN_AGE : 0);
            }
        }
        if (!orders.isEmpty()) {
            onOrders.accept(orders);
        }
    }

    private void addOrder(List<EvacuationOrder> orders, StoreRow row, long era, long ageMillis) {
        try {
            FailureDomain domain = FailureDomain.of(row.key().substring(KEY_PREFIX.length()));
            orders.add(new EvacuationOrder(domain, era, row.version(), !row.deleted(), ageMillis));
        } catch (SiskindykeException e) {
            log.event("evacuation-unreadable", "row", row.key(), "cause", e.getMessage());
        }
    }

    /** Returns the version that each row is expected to have, by key; 0 for no row. */
    Map<String, Long> expectedVersions(long era) {
        Map<String, Long> versions = new TreeMap<>();
        listedDomains.forEach(domain -> versions.put(KEY_PREFIX + domain, StoreClient.NO_ROW));
        for (EvacuationOrder order : known.get()) {
            boolean exists = order.evacuated() && order.era() == era;
            versions.put(KEY_PREFIX + order.domain(), exists ? order.version() : StoreClient.NO_ROW);
        }
        return versions.size() <= MAX_CONDITIONS ? versions : Map.of();
    }

    /** Checks the orders in force of which an answer with all rows has none. */
    void confirmMissing(List<StoreRow> rows, long era) {
        Set<String> present = rows.stream().map(StoreRow::key).collect(Collectors.toSet());
        known.get().stream()
                .filter(order -> order.evacuated() && !present.contains(KEY_PREFIX + order.domain()))
                .forEach(order -> confirm(order.domain(), era));
    }

    /** Checks the rows of all failure domains that are known, first all at once, then, if any has changed, each. */
    void confirmAll(long era) {
        Map<String, Long> versions = expectedVersions(era);
        store.check(TABLE, versions).whenComplete((answer, failure) -> {
            if (failure != null) {
                traffic.schedule(() -> confirmAll(era), RETRY_DELAY_MILLIS);
            } else if (answer.status() != StoreClient.OK) {
                versions.keySet().forEach(key -> confirm(FailureDomain.of(key.substring(KEY_PREFIX.length())), era));
            }
        });
    }

    private void confirm(FailureDomain domain, long era) {
        store.check(TABLE, KEY_PREFIX + domain, StoreClient.NO_ROW).whenComplete((answer, failure) -> {
            if (failure != null) {
                traffic.schedule(() -> confirm(domain, era), RETRY_DELAY_MILLIS);
            } else if (answer.status() == StoreClient.OK) {
                onRemoved(domain, answer.era());
            } else {
                offer(store.rows(answer), answer.era(), true);
            }
        });
    }

    /**
     * Passes on that a known order was removed. The version of the removal is not known; it is at least the one after
     * the order's, and a later order has a higher one.
     */
    private void onRemoved(FailureDomain domain, long era) {
        known.get().stream()
                .filter(order -> order.domain().equals(domain) && order.evacuated() && order.era() <= era)
                .map(order -> new EvacuationOrder(domain, era, order.era() == era ? order.version() + 1 : 0, false, 0))
                .forEach(order -> onOrders.accept(List.of(order)));
    }
}
