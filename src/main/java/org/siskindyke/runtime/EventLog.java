package org.siskindyke.runtime;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Structured events, one JSON object a line, written by a thread of their own. A full queue drops events and counts
 * them, so that writing never blocks traffic.
 */
public final class EventLog {
    /** Events that may wait to be written; about a second of the most events that are let through. */
    private static final int QUEUE_EVENTS = 2_048;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_EVENTS);
    private final AtomicLong dropped = new AtomicLong();
    private final String instance;

    /**
     * Creates a log and starts its writer.
     *
     * @param instance names the process in each line
     * @param out where lines go
     */
    public EventLog(String instance, PrintStream out) {
        this.instance = instance;
        Thread writer = new Thread(() -> write(out), "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns the number of events that were dropped because the queue was full. */
    public long dropped() {
        return dropped.get();
    }

    /**
     * Writes an event.
     *
     * @param event what happened, in words joined by hyphens
     * @param fields names and values in turn; numbers and booleans stand unquoted
     */
    public void event(String event, Object... fields) {
        StringBuilder line = new StringBuilder(192);
        line.append("{\"ms\":").append(System.nanoTime() / NANOS_PER_MILLI);
        line.append(",\"instance\":\"").append(instance);
        line.append("\",\"event\":\"").append(event).append('"');
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(",\"").append(fields[i]).append("\":");
            appendValue(line, fields[i + 1]);
        }
        line.append('}');
        if (!queue.offer(line.toString())) {
            dropped.incrementAndGet();
        }
    }

    private static void appendValue(StringBuilder line, Object value) {
        if (value == null || value instanceof Number || value instanceof Boolean) {
            line.append(value);
            return;
        }
        line.append('"');
        String text = value.toString();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < ' ') {
                line.append(' ');
            } else {
                line.append(c);
            }
        }
        line.append('"');
    }

    private void write(PrintStream out) {
        StringBuilder batch = new StringBuilder();
        try {
            while (true) {
                batch.append(queue.take()).append('\n');
                for (String more = queue.poll(); more != null && batch.length() < QUEUE_EVENTS; more = queue.poll()) {
                    batch.append(more).append('\n');
                }
                byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
                out.write(bytes, 0, bytes.length);
                out.flush();
                batch.setLength(0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
