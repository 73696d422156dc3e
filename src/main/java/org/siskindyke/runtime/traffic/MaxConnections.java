package org.siskindyke.runtime.traffic;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Finds out how many connections of callers a process may hold at a time. */
final class MaxConnections {
    /**
     * Connections of callers at a time, at most. The smallest host has 4,100 descriptors, 200 of them for files; the
     * others are left to peers, the backend server and the store.
     */
    static final int DEFAULT = 3_072;

    /** Descriptors that are left to everything but callers where the process may open fewer than the host has. */
    private static final int OTHER_DESCRIPTORS = 1_028;

    private static final String LIMIT = "Max open files";

    /** The default, or less if the process may open fewer descriptors. */
    static final int OF_PROCESS = ofProcess();

    private MaxConnections() {}

    private static int ofProcess() {
        try {
            return Files.readAllLines(Path.of("/proc/self/limits")).stream()
                    .filter(line -> line.startsWith(LIMIT))
                    .map(line -> line.substring(LIMIT.length()).strip().split("\\s+")[0])
                    .mapToInt(MaxConnections::of)
                    .findFirst()
                    .orElse(DEFAULT);
        } catch (IOException e) {
            // Not Linux; the default holds on the platforms that this runs on.
            return DEFAULT;
        }
    }

    /** Returns the number of connections for a limit on descriptors: a number or {@code unlimited}. */
    static int of(String descriptors) {
        if (!descriptors.matches("\\d{1,9}")) {
            return DEFAULT;
        }
        int limit = Integer.parseInt(descriptors);
        return Math.min(DEFAULT, Math.max(limit / 2, limit - OTHER_DESCRIPTORS));
    }
}
