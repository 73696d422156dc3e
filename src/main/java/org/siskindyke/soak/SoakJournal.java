package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.http.Json;

/** What all processes of a soak saw. */
final class SoakJournal {
    private static final System.Logger LOGGER = System.getLogger(SoakJournal.class.getName());

    private final List<SoakEvent> events = new ArrayList<>();

    synchronized void add(SoakEvent event) {
        events.add(event);
    }

    /** Takes a line that a process wrote; one that is no event is logged. */
    void addLine(String line) {
        if (line.startsWith("{\"atMillis\"")) {
            add(Json.read(line, SoakEvent.class));
        } else {
            LOGGER.log(System.Logger.Level.WARNING, "no event: {0}", line);
        }
    }

    void add(SoakEvent.What what, String who, String detail) {
        add(SoakEvent.of(nowMillis(), what, who, detail));
    }

    /** Returns the events so far, by time. */
    synchronized List<SoakEvent> events() {
        List<SoakEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(SoakEvent::atMillis));
        return sorted;
    }

    static long nowMillis() {
        return SystemMonotonicClock.INSTANCE.nowMillis();
    }
}
