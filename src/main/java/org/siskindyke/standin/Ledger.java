package org.siskindyke.standin;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import org.siskindyke.runtime.http.Json;

/** Appends a line for each executed call, so that a checker does not depend on the router's own records. */
public final class Ledger implements AutoCloseable {
    private final BufferedWriter writer;

    /**
     * Opens a ledger.
     *
     * @param path the file; null to write nothing
     * @throws UncheckedIOException where the file cannot be opened
     */
    public Ledger(Path path) {
        try {
            writer = path == null
                    ? null
                    : Files.newBufferedWriter(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * One executed call.
     *
     * @param target the backend server
     * @param callId id of the call; null where the request named none
     * @param idempotencyKey its Idempotency-Key; null for none
     * @param method its HTTP method
     * @param key its key; null for an undivided service
     * @param member the member that sent it, the owner of the slice; null where the request named none
     * @param generation generation of the slice's ownership that was sent with it; 0 for an undivided service
     * @param beginNanos begin, by the host's monotonic clock
     * @param endNanos end, by the host's monotonic clock
     * @param completed whether the call took effect; false where it was ended early without effect
     */
    public record Entry(
            String target,
            String callId,
            String idempotencyKey,
            String method,
            String key,
            String member,
            long generation,
            long beginNanos,
            long endNanos,
            boolean completed) {}

    /**
     * Appends an entry as a line of JSON and flushes it.
     *
     * @throws UncheckedIOException where the file cannot be written
     */
    public synchronized void append(Entry entry) {
        if (writer == null) {
            return;
        }
        try {
            writer.write(Json.write(entry));
            writer.newLine();
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() {
        try {
            if (writer != null) {
                writer.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
