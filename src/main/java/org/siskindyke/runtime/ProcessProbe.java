package org.siskindyke.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Optional;

import org.siskindyke.kernel.membership.ProcessIdentity;

/** Identifies this process and detects whether another process on the same host has ended. */
public final class ProcessProbe {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final Path PID_NAMESPACE = Path.of("/proc/self/ns/pid");

    private ProcessProbe() {}

    /** Returns the identity of this process; null if the host does not provide it, as where there is no /proc. */
    public static ProcessIdentity self() {
        ProcessHandle handle = ProcessHandle.current();
        Optional<Instant> start = handle.info().startInstant();
        try {
            String bootId = Files.readString(BOOT_ID).strip();
            String namespace = Files.readSymbolicLink(PID_NAMESPACE).toString();
            return start.map(s -> new ProcessIdentity(bootId, namespace, handle.pid(), s.toEpochMilli()))
                    .orElse(null);
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Returns whether a process has provably ended: it ran under the same kernel boot and process ID namespace as this
     * process, and its ID is free or belongs to a process that started at another time.
     *
     * @param other the process; null if nothing is known about it, which proves nothing
     */
    public static boolean hasEnded(ProcessIdentity other) {
        ProcessIdentity self = self();
        boolean comparable = other != null
                && self != null
                && self.bootId().equals(other.bootId())
                && self.pidNamespace().equals(other.pidNamespace());
        if (!comparable) {
            return false;
        }
        Optional<ProcessHandle> handle = ProcessHandle.of(other.pid());
        if (handle.isEmpty() || !handle.get().isAlive()) {
            return true;
        }
        Optional<Instant> start = handle.get().info().startInstant();
        return start.isPresent() && start.get().toEpochMilli() != other.startMillis();
    }
}
