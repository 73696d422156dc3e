package org.siskindyke.kernel.place;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.siskindyke.kernel.id.FailureDomain;

/**
 * The evacuation orders that a router knows. The latest version of each order counts, in whatever sequence the versions
 * arrive. Confined to one thread; all times are on the monotonic clock.
 */
public final class EvacuationOrders {
    private final Map<FailureDomain, Known> known = new TreeMap<>();

    private record Known(EvacuationOrder order, long sinceMillis) {}

    /**
     * Accepts the orders that are newer than the known ones.
     *
     * @return whether there were any
     */
    public boolean accept(Collection<EvacuationOrder> offered, long nowMillis) {
        boolean changed = false;
        for (EvacuationOrder order : offered) {
            Known before = known.get(order.domain());
            if (order.isNewerThan(before == null ? null : before.order())) {
                known.put(order.domain(), new Known(order, sinceMillis(before, order, nowMillis)));
                changed = true;
            }
        }
        return changed;
    }

    /** Returns when an order was learnt; one that is written again while it is in force does not begin anew. */
    private static long sinceMillis(Known before, EvacuationOrder order, long nowMillis) {
        long sinceMillis = nowMillis - order.ageMillis();
        boolean continues = before != null && before.order().evacuated() && order.evacuated();
        return continues ? Math.min(before.sinceMillis(), sinceMillis) : sinceMillis;
    }

    /** Returns all known orders, in force and removed, with their ages at a time. */
    public List<EvacuationOrder> all(long nowMillis) {
        return known.values().stream()
                .map(k -> new EvacuationOrder(
                        k.order().domain(),
                        k.order().era(),
                        k.order().version(),
                        k.order().evacuated(),
                        Math.max(0, nowMillis - k.sinceMillis())))
                .toList();
    }

    /** Returns the orders in force. */
    public Evacuation inForce() {
        Map<FailureDomain, Long> sinceMillis = new TreeMap<>();
        known.forEach((domain, k) -> {
            if (k.order().evacuated()) {
                sinceMillis.put(domain, k.sinceMillis());
            }
        });
        return new Evacuation(sinceMillis);
    }

    /** Returns the failure domains of all known orders, in force and removed. */
    public Set<FailureDomain> domains() {
        return Set.copyOf(known.keySet());
    }
}
