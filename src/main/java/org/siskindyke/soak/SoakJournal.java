package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.http.Json;

/** Collects the events of all processes of a soak. Thread-safe. */
final class SoakJournal {
    private static final System.Logger LOGGER = System.getLogger(SoakJournal.class.getName());

    private final List<SoakEvent> events = new ArrayList<>();

    synchronized void add(SoakEvent event) {
        events.add(event);
    }

    /** Adds the event in a line of a process's output; a line that is not an event is logged as a warning. */
    void addLine(String line) {
        if (line.startsWith("{\"atMillis\"")) {
            add(Json.read(line, SoakEvent.class));
        } else {
            LOGGER.log(System.Logger.Level.WARNING, "unexpected output of a soak process: {0}", line);
        }
    }

    void add(SoakEvent.What what, String who, String detail) {
        add(SoakEvent.of(nowMillis(), what, who, detail));
    }

    /** Returns a copy of the events so far, sorted by time. */
    synchronized List<SoakEvent> events() {
        List<SoakEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(SoakEvent::atMillis));
        return sorted;
    }

    static long nowMillis() {
        return SystemMonotonicClock.INSTANCE.nowMillis();
    }
}
