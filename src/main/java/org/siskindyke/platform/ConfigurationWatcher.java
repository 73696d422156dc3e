package org.siskindyke.platform;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Watches the operators' configuration and their evacuation orders in the store. Each call starts after the previous
 * one was answered or failed, so that the state needs no lock.
 *
 * <p>Reads may lag behind the version that they name. Where the store has dropped the history since the row that was
 * seen, a transaction without writes tells whether that row is still the newest, and returns the newest if not.
 */
final class ConfigurationWatcher {
    private static final String TABLE = "op";
    private static final String KEY = "config";
    /** Rows of the first read; the table holds one configuration and an order for each of a few failure domains. */
    private static final int READ_LIMIT_ROWS = 100;
    /** Maximum evacuation orders that are read. */
    private static final int MAX_ORDERS = 1_000;
    /** Maximum delay before the first retry after a call was answered; a lost connection is replaced at once. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 300;
    /** Mean delay before further retries; each call is billed. */
    private static final long RETRY_DELAY_MILLIS = 1_000;
    /**
     * Delay before the next watch, so that one call reads several changes; under half of the time within which the
     * platform requires a configuration to be applied, which is 2 to 2.5 seconds, depending on the deployment.
     */
    private static final long COALESCE_MILLIS = 800;
    /** Delay before the next watch after one without changes; limits the calls to a store that answers too soon. */
    private static final long UNCHANGED_DELAY_MILLIS = 100;
    /**
     * Longest wait of a reader's watch. The platform requires changes to be applied in time again 3 seconds after open
     * connections were lost, so a lost watch has to be noticed within 5 seconds.
     */
    private static final long READER_WAIT_MILLIS = 4_000;
    /** Shortest wait of a reader's watch; waits differ, so that not all watches that were lost are noticed last. */
    private static final long MIN_READER_WAIT_MILLIS = 1_000;
    /** How soon the watch begins once changes may not arrive otherwise. */
    private static final long NOT_NEEDED_CHECK_MILLIS = 250;
    /** How long the watch of other routers waits; they receive changes from the readers as well. */
    private static final long WAIT_MILLIS = 8_000;

    private final StoreClient store;
    private final TrafficLoop traffic;
    private final Consumer<ConfigurationText> onConfiguration;
    private final BooleanSupplier reader;
    private final BooleanSupplier needed;
    private final EvacuationRows evacuations;
    private final EventLog log;
    private final WatchProgress progress = new WatchProgress();
    /** Version up to which all changes were seen. */
    private long seenVersion;

    /** Version of the newest row seen; 0 for none. */
    private long revision;

    /** The newest era that an answer has named; the versions above are of this era. */
    private long era = StoreClient.UNKNOWN_ERA;

    private boolean failing;

    /**
     * Creates a watcher.
     *
     * @param store the store
     * @param traffic delays calls
     * @param onConfiguration receives each configuration that was read
     * @param reader returns whether other routers rely on this one to notice changes soon
     * @param needed returns whether changes may not arrive otherwise; while they do, the store is not asked
     * @param evacuations receives the rows of evacuation orders
     * @param log receives an event for each row that was read and when the store fails or answers again
     */
    ConfigurationWatcher(
            StoreClient store,
            TrafficLoop traffic,
            Consumer<ConfigurationText> onConfiguration,
            BooleanSupplier reader,
            BooleanSupplier needed,
            EvacuationRows evacuations,
            EventLog log) {
        this.store = store;
        this.traffic = traffic;
        this.onConfiguration = onConfiguration;
        this.reader = reader;
        this.needed = needed;
        this.evacuations = evacuations;
        this.log = log;
    }

    /**
     * Reads the configuration and the evacuation orders, whose keys follow in the order of keys, then watches them for
     * changes from the version of the configuration on. A read that holds this version holds all earlier orders, too.
     */
    void start() {
        store.readRows(TABLE, KEY, EvacuationRows.KEYS_END, READ_LIMIT_ROWS).whenComplete((answer, failure) -> {
            if (isAnswered(failure, this::start) && isOfPresentEra(answer)) {
                if (store.rows(answer).size() >= READ_LIMIT_ROWS) {
                    readOrders();
                }
                offerRows(answer, true);
                evacuations.confirmMissing(store.rows(answer), era);
                seenVersion = Math.max(seenVersion, revision);
                watch();
            }
        });
    }

    /** Reads the evacuation orders alone, since rows with keys before theirs have filled the answer. */
    private void readOrders() {
        store.readRows(TABLE, EvacuationRows.KEY_PREFIX, EvacuationRows.KEYS_END, MAX_ORDERS)
                .whenComplete((answer, failure) -> {
                    if (failure != null) {
                        traffic.schedule(this::readOrders, RETRY_DELAY_MILLIS);
                    } else {
                        evacuations.offer(store.rows(answer), answer.era(), true);
                    }
                });
    }

    private void watch() {
        if (!needed.getAsBoolean()) {
            traffic.schedule(this::watch, NOT_NEEDED_CHECK_MILLIS);
            return;
        }
        store.watch(TABLE, seenVersion, waitMillis()).whenComplete((answer, failure) -> {
            boolean afterFailure = failing;
            if (!isAnswered(failure, this::watch) || !isOfPresentEra(answer)) {
                return;
            }
            if (answer.status() == StoreClient.HISTORY_GONE) {
                log.event("configuration-history-gone", "after", seenVersion);
                confirm();
                return;
            }
            long newestRow = offerRows(answer, afterFailure);
            seenVersion = progress.onAnswer(seenVersion, newestRow, answer.version());
            traffic.schedule(this::watch, newestRow > 0 ? COALESCE_MILLIS : UNCHANGED_DELAY_MILLIS);
        });
    }

    private long waitMillis() {
        return reader.getAsBoolean()
                ? MIN_READER_WAIT_MILLIS + randomUpTo(READER_WAIT_MILLIS - MIN_READER_WAIT_MILLIS)
                : WAIT_MILLIS;
    }

    /** Finds out whether the rows that were seen are still the newest. */
    private void confirm() {
        Map<String, Long> versions = new TreeMap<>(evacuations.expectedVersions(era));
        if (versions.isEmpty()) {
            confirmConfiguration();
            return;
        }
        versions.put(KEY, revision);
        store.check(TABLE, versions).whenComplete((answer, failure) -> {
            if (!isAnswered(failure, this::start) || !isOfPresentEra(answer)) {
                return;
            }
            if (answer.status() == StoreClient.OK) {
                onConfirmed(answer);
            } else {
                // The answer need not contain the rows whose conditions held.
                evacuations.confirmAll(era);
                confirmConfiguration();
            }
        });
    }

    private void confirmConfiguration() {
        store.check(TABLE, KEY, revision).whenComplete((answer, failure) -> {
            if (isAnswered(failure, this::start) && isOfPresentEra(answer)) {
                onConfirmed(answer);
            }
        });
    }

    private void onConfirmed(StoreClient.Answer answer) {
        boolean unchanged = answer.status() == StoreClient.OK;
        log.event("configuration-confirmed", "revision", revision, "unchanged", unchanged);
        if (unchanged || offerRows(answer, true) > 0) {
            seenVersion = Math.max(seenVersion, answer.version());
            traffic.schedule(this::watch, COALESCE_MILLIS);
        } else {
            traffic.schedule(this::start, COALESCE_MILLIS);
        }
    }

    /**
     * Returns whether an answer is of the era of the versions that are known here. If it is not, the store was restored
     * and its versions name other rows now, so that all must be read again.
     */
    private boolean isOfPresentEra(StoreClient.Answer answer) {
        if (era == StoreClient.UNKNOWN_ERA || era == answer.era()) {
            era = answer.era();
            return true;
        }
        log.event("configuration-era-changed", "era", answer.era(), "before", era, "revision", revision);
        era = Math.max(era, answer.era());
        seenVersion = 0;
        revision = 0;
        progress.reset();
        traffic.schedule(this::start, randomUpTo(FIRST_RETRY_DELAY_MILLIS));
        return false;
    }

    /** Returns whether a call was answered; if it failed, schedules a retry. */
    private boolean isAnswered(Throwable failure, Runnable retry) {
        boolean first = !failing;
        updateFailing(failure != null, failure == null ? "" : failure.getMessage());
        if (failure != null) {
            traffic.schedule(
                    retry,
                    first
                            ? randomUpTo(FIRST_RETRY_DELAY_MILLIS)
                            : RETRY_DELAY_MILLIS / 2 + randomUpTo(RETRY_DELAY_MILLIS));
        }
        return failure == null;
    }

    private static long randomUpTo(long millis) {
        return ThreadLocalRandom.current().nextLong(millis);
    }

    /**
     * Passes on the evacuation orders in an answer and then the configuration, with which requests begin to be served.
     *
     * @param answer the answer
     * @param mayBeOld whether the rows may have been written long ago
     * @return the highest version of the rows in the answer, 0 for none
     */
    private long offerRows(StoreClient.Answer answer, boolean mayBeOld) {
        long newest = 0;
        List<StoreRow> rows = store.rows(answer);
        evacuations.offer(rows, answer.era(), mayBeOld);
        for (StoreRow row : rows) {
            logRead(row, answer);
            newest = Math.max(newest, row.version());
            if (row.key().equals(KEY) && !row.deleted()) {
                offer(row);
            }
        }
        return newest;
    }

    private void logRead(StoreRow row, StoreClient.Answer answer) {
        log.event(
                "configuration-read",
                "row",
                row.key(),
                "revision",
                row.version(),
                "storeVersion",
                answer.version(),
                "era",
                answer.era(),
                "after",
                seenVersion);
    }

    private void offer(StoreRow row) {
        revision = Math.max(revision, row.version());
        try {
            onConfiguration.accept(ConfigurationReader.withVersion(row.value()));
        } catch (SiskindykeException e) {
            log.event("configuration-unreadable", "revision", row.version(), "cause", e.getMessage());
        }
    }

    private void updateFailing(boolean nowFailing, String cause) {
        if (nowFailing != failing) {
            failing = nowFailing;
            log.event(nowFailing ? "store-lost" : "store-regained", "cause", cause);
        }
    }
}
