package org.siskindyke.platform;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Watches the operators' configuration in the store. Each call starts after the previous one was answered or failed, so
 * that the state needs no lock.
 */
final class ConfigurationWatcher {
    private static final String TABLE = "op";
    private static final String KEY = "config";
    /**
     * Mean delay before a failed call is retried. Each call is billed, and a retry within 3 seconds after a disruption
     * suffices: only then does the platform regard its store as stable and require changes to be applied in time again.
     */
    private static final long RETRY_DELAY_MILLIS = 1_000;
    /**
     * Delay before the next watch, so that one call reads several changes; under half of the time within which the
     * platform requires a configuration to be applied, which is 2 to 2.5 seconds, depending on the deployment.
     */
    private static final long COALESCE_MILLIS = 800;
    /** How long a watch waits for a change; a router whose watch was lost receives the change from its peers. */
    private static final long WATCH_WAIT_MILLIS = 8_000;

    private final StoreClient store;
    private final TrafficLoop traffic;
    private final Consumer<ConfigurationText> onConfiguration;
    private final EventLog log;
    private long version;
    private boolean failing;

    ConfigurationWatcher(
            StoreClient store, TrafficLoop traffic, Consumer<ConfigurationText> onConfiguration, EventLog log) {
        this.store = store;
        this.traffic = traffic;
        this.onConfiguration = onConfiguration;
        this.log = log;
    }

    /** Reads the configuration, then watches it for changes. */
    void start() {
        store.readRows(TABLE, KEY, KEY + '\u0001', 1).whenComplete(this::onAnswer);
    }

    private void watch() {
        store.watch(TABLE, version, WATCH_WAIT_MILLIS).whenComplete(this::onAnswer);
    }

    private void onAnswer(StoreClient.Answer answer, Throwable failure) {
        if (failure != null) {
            updateFailing(true, failure.getMessage());
            long delayMillis =
                    RETRY_DELAY_MILLIS / 2 + ThreadLocalRandom.current().nextLong(RETRY_DELAY_MILLIS);
            traffic.schedule(version == 0 ? this::start : this::watch, delayMillis);
            return;
        }
        updateFailing(false, "");
        if (answer.status() == StoreClient.HISTORY_GONE) {
            log.event("configuration-history-gone", "after", version);
            traffic.schedule(this::start, COALESCE_MILLIS);
            return;
        }
        for (JsonNode row : answer.body().path("rows")) {
            logRead(row, answer);
            if (row.path("key").asText().equals(KEY) && !row.path("tombstone").asBoolean(false)) {
                offer(row);
            }
        }
        version = Math.max(version, answer.body().path("ver").asLong());
        traffic.schedule(this::watch, COALESCE_MILLIS);
    }

    private void logRead(JsonNode row, StoreClient.Answer answer) {
        log.event(
                "configuration-read",
                "row",
                row.path("key").asText(),
                "revision",
                row.path("ver").asLong(),
                "storeVersion",
                answer.body().path("ver").asLong(),
                "after",
                version);
    }

    private void offer(JsonNode row) {
        try {
            onConfiguration.accept(new ConfigurationText(row.path("ver").asLong(), StoreClient.decodeValue(row)));
        } catch (IllegalArgumentException e) {
            log.event("configuration-unreadable", "revision", row.path("ver").asLong(), "cause", e.getMessage());
        }
    }

    private void updateFailing(boolean nowFailing, String cause) {
        if (nowFailing != failing) {
            failing = nowFailing;
            log.event(nowFailing ? "store-lost" : "store-regained", "cause", cause);
        }
    }
}
