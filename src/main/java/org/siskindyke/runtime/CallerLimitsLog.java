package org.siskindyke.runtime;

import org.siskindyke.runtime.traffic.CallerMemory;
import org.siskindyke.runtime.traffic.HttpListener;

/** Logs how often limits on callers were met since the last line. Confined to the traffic loop. */
final class CallerLimitsLog {
    private final EventSink log;
    private final HttpListener callers;
    private final CallerMemory memory;
    private long shed;
    private long refused;
    private long connectionsRefused;

    CallerLimitsLog(EventSink log, HttpListener callers, CallerMemory memory) {
        this.log = log;
        this.callers = callers;
        this.memory = memory;
    }

    /** Writes a line if a limit was met since the last call. Called every few seconds, which limits the rate. */
    void flush() {
        boolean met =
                memory.shed() > shed || memory.refused() > refused || callers.connectionsRefused() > connectionsRefused;
        if (!met) {
            return;
        }
        log.event(
                "callers-limited",
                "shed",
                memory.shed() - shed,
                "refused",
                memory.refused() - refused,
                "connectionsRefused",
                callers.connectionsRefused() - connectionsRefused,
                "usedBytes",
                memory.usedBytes(),
                "maxBytes",
                memory.maxBytes(),
                "connections",
                callers.connections());
        shed = memory.shed();
        refused = memory.refused();
        connectionsRefused = callers.connectionsRefused();
    }
}
