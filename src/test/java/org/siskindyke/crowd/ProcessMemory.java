package org.siskindyke.crowd;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/** Reads how much memory and how many descriptors a process uses, as a machine charges them. */
final class ProcessMemory {
    private static final List<Path> SOCKETS = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final String LISTENING = "0A";
    private static final int LOCAL_ADDRESS = 1;
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final int HEX = 16;
    private static final int KILOBYTE = 1_024;

    private final long processId;
    private final Set<Integer> ports;

    /** Creates a reader for a process and the ports on which it accepts connections. */
    ProcessMemory(long processId, Set<Integer> ports) {
        this.processId = processId;
        this.ports = ports;
    }

    /** Returns the resident memory now. */
    long residentKilobytes() throws IOException {
        return statusKilobytes("VmRSS:");
    }

    /** Returns the highest resident memory so far. */
    long mostResidentKilobytes() throws IOException {
        return statusKilobytes("VmHWM:");
    }

    private long statusKilobytes(String field) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + processId + "/status")).stream()
                .filter(line -> line.startsWith(field))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the size of what was received and not read, on accepted connections and on those that wait for it. */
    long unreadKilobytes() throws IOException {
        long bytes = 0;
        for (Path sockets : SOCKETS) {
            if (Files.exists(sockets)) {
                bytes += Files.readAllLines(sockets).stream()
                        .skip(1)
                        .mapToLong(this::unreadBytes)
                        .sum();
            }
        }
        return bytes / KILOBYTE;
    }

    private long unreadBytes(String line) {
        String[] fields = line.strip().split("\\s+");
        String address = fields[LOCAL_ADDRESS];
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1), HEX);
        if (!ports.contains(port) || fields[STATE].equals(LISTENING)) {
            return 0;
        }
        String queues = fields[QUEUES];
        return Long.parseLong(queues.substring(queues.indexOf(':') + 1), HEX);
    }

    long descriptors() throws IOException {
        try (var entries = Files.list(Path.of("/proc/" + processId + "/fd"))) {
            return entries.count();
        }
    }
}
