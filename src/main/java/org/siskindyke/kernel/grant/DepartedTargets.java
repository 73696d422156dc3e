package org.siskindyke.kernel.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.siskindyke.kernel.membership.TargetDeparture;

/**
 * The backend servers beside this router that have left or are leaving, of this process and of earlier ones. A
 * heartbeat of one of them that does not say so was sent before and has arrived late. Confined to the control thread.
 */
public final class DepartedTargets {
    /** Number of departures that are kept; one backend server runs beside a router at a time. */
    private static final int MAX_DEPARTURES = 16;

    private final List<TargetDeparture> departures = new ArrayList<>();

    /** Adds a departure, unless a known one covers it; the oldest is dropped where there are too many. */
    public void add(TargetDeparture departure) {
        if (departures.stream().anyMatch(known -> known.appliesTo(departure.target(), departure.startMillis()))) {
            return;
        }
        departures.removeIf(known -> known.target().equals(departure.target()));
        departures.add(departure);
        if (departures.size() > MAX_DEPARTURES) {
            departures.remove(0);
        }
    }

    /** Adds the departures that an earlier process has recorded; those of this process are kept with preference. */
    public void addEarlier(Collection<TargetDeparture> earlier) {
        List<TargetDeparture> later = List.copyOf(departures);
        departures.clear();
        earlier.forEach(this::add);
        later.forEach(this::add);
    }

    /** Returns whether a heartbeat comes from an incarnation that has left or is leaving. */
    public boolean contains(TargetHeartbeat heartbeat) {
        return departures.stream().anyMatch(known -> known.appliesTo(heartbeat.target(), heartbeat.startMillis()));
    }

    /** Returns the departures, the latest last. */
    public List<TargetDeparture> all() {
        return List.copyOf(departures);
    }
}
