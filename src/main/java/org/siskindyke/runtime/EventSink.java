package org.siskindyke.runtime;

/** Receives events for a log. */
@FunctionalInterface
interface EventSink {
    /**
     * Writes a line.
     *
     * @param event name of the event: words joined by hyphens
     * @param fields names and values alternately
     */
    void event(String event, Object... fields);
}
