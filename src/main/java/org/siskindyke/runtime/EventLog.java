package org.siskindyke.runtime;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes structured events, one JSON object per line, on a thread of its own. If the queue is full, events are dropped
 * and counted, so that logging never blocks traffic. Events in the queue when the JVM exits are lost. Thread-safe.
 */
public final class EventLog {
    /**
     * Capacity of the queue in events. The events of one router that are limited by an {@link EventRateLimiter}, failed
     * requests and lost responses, are at most 70 per second together and fill it in 29 seconds.
     */
    private static final int QUEUE_CAPACITY = 2_048;

    /** Length in characters from which a batch of lines is written. */
    private static final int BATCH_LENGTH = 2_048;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final String instance;

    /**
     * Creates a log and starts its writer thread.
     *
     * @param instance name of the process, written in each line
     * @param out receives the lines, in UTF-8
     */
    public EventLog(String instance, PrintStream out) {
        this.instance = instance;
        Thread writer = new Thread(() -> write(out), "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns the number of events dropped since the start because the queue was full. */
    public long dropped() {
        return dropped.get();
    }

    /**
     * Queues an event to be written, with the time in milliseconds of the host's monotonic clock.
     *
     * @param event name of the event: words joined by hyphens
     * @param fields names and values alternately; numbers, booleans and null are written unquoted
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
                while (batch.length() < BATCH_LENGTH && !queue.isEmpty()) {
                    batch.append(queue.take()).append('\n');
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
