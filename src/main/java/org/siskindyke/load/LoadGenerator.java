package org.siskindyke.load;

import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.siskindyke.kernel.call.Verdict;

/**
 * Sends calls at a fixed rate, whether or not earlier ones have been answered (open loop).
 *
 * <p>Orders are non-idempotent POST calls with an Idempotency-Key; all other calls are GET. An order that is not known
 * to have run may be retried with the same key, up to {@value #MAX_ATTEMPTS} attempts in all. A call that is due while
 * {@value #MAX_IN_FLIGHT} calls are in flight is skipped.
 */
public final class LoadGenerator {
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final byte[] NO_BODY = {};
    private static final byte[] ORDER_BODY = {'o', 'r', 'd', 'e', 'r'};
    private static final int PERCENT = 100;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_IN_FLIGHT = 20_000;
    private static final long DRAIN_TIMEOUT_NANOS = 15 * NANOS_PER_SECOND;

    private final LoadSettings settings;
    private final CallSender client;
    private final Consumer<CallRecord> results;
    private final Random random;
    private final ZipfKeys keys;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();

    /**
     * Creates a generator.
     *
     * @param settings rate, duration, keys and mix of the calls
     * @param client sends the calls
     * @param results receives the outcome of each attempt, on any thread
     */
    public LoadGenerator(LoadSettings settings, CallSender client, Consumer<CallRecord> results) {
        this.settings = settings;
        this.client = client;
        this.results = results;
        this.random = new Random(settings.seed());
        this.keys = new ZipfKeys("k", settings.keys(), settings.zipfExponent());
    }

    /** Returns the distribution of the keys, whose hottest keys can be changed while the load runs. */
    public ZipfKeys keys() {
        return keys;
    }

    /** Makes {@link #run} stop sending before the duration has passed. */
    public void stop() {
        stopped.set(true);
    }

    /** Sends calls for the whole duration, then waits up to 15 seconds for outstanding outcomes. */
    public void run() {
        long startNanos = System.nanoTime();
        long intervalNanos = (long) (NANOS_PER_SECOND / settings.ratePerSecond());
        long calls = settings.durationMillis() * 1_000_000 / intervalNanos;
        for (long i = 0; i < calls && !stopped.get(); i++) {
            long dueNanos = startNanos + i * intervalNanos;
            waitUntil(dueNanos);
            if (inFlight.get() < MAX_IN_FLIGHT) {
                send(nextCall(), dueNanos);
            }
        }
        long drainUntilNanos = System.nanoTime() + DRAIN_TIMEOUT_NANOS;
        while (inFlight.get() > 0 && System.nanoTime() < drainUntilNanos) {
            LockSupport.parkNanos(NANOS_PER_SECOND / 1_000);
        }
    }

    private static void waitUntil(long dueNanos) {
        long leftNanos = dueNanos - System.nanoTime();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            leftNanos = dueNanos - System.nanoTime();
        }
    }

    private CallSender.OutgoingCall nextCall() {
        String key = settings.divided() ? keys.draw(random) : null;
        boolean order = random.nextInt(PERCENT) < settings.orderPercent();
        UUID id = order ? UuidV7.of(System.currentTimeMillis(), random) : null;
        return new CallSender.OutgoingCall(
                settings.service(),
                key,
                order ? "POST" : "GET",
                id == null ? null : id.toString(),
                1,
                settings.headers(),
                order ? ORDER_BODY : NO_BODY,
                false);
    }

    private void send(CallSender.OutgoingCall call, long dueNanos) {
        inFlight.incrementAndGet();
        int router = random.nextInt(client.routerCount());
        boolean mayRetry = random.nextInt(PERCENT) < settings.retryPercent();
        client.send(call, router, dueNanos).subscribe(record -> {
            results.accept(record);
            boolean mayNotHaveRun = !record.isServed() && !Verdict.RAN.name().equals(record.verdict());
            boolean retry = call.idempotencyKey() != null && mayNotHaveRun && mayRetry && call.attempt() < MAX_ATTEMPTS;
            if (retry) {
                send(nextAttempt(call), System.nanoTime());
            }
            inFlight.decrementAndGet();
        });
    }

    private static CallSender.OutgoingCall nextAttempt(CallSender.OutgoingCall call) {
        return new CallSender.OutgoingCall(
                call.service(),
                call.key(),
                call.method(),
                call.idempotencyKey(),
                call.attempt() + 1,
                call.headers(),
                call.body(),
                call.probe());
    }

    /** Probes the keys in turn, each at a fixed interval, until stopped. */
    public static final class Prober implements Runnable {
        private final String service;
        private final List<String> probeKeys;
        private final long intervalMillis;
        private final CallSender client;
        private final Consumer<CallRecord> results;
        private final AtomicBoolean stopped = new AtomicBoolean();

        /**
         * Creates a prober.
         *
         * @param service name of the service
         * @param probeKeys the keys to probe
         * @param intervalMillis interval between two probes of the same key
         * @param client sends the probes
         * @param results receives the outcome of each probe, on any thread
         */
        public Prober(
                String service,
                List<String> probeKeys,
                long intervalMillis,
                CallSender client,
                Consumer<CallRecord> results) {
            this.service = service;
            this.probeKeys = probeKeys;
            this.intervalMillis = intervalMillis;
            this.client = client;
            this.results = results;
        }

        /** Makes {@link #run} return after the current probe. */
        public void stop() {
            stopped.set(true);
        }

        @Override
        public void run() {
            long intervalNanos = intervalMillis * 1_000_000 / probeKeys.size();
            long startNanos = System.nanoTime();
            for (long i = 0; !stopped.get(); i++) {
                long dueNanos = startNanos + i * intervalNanos;
                waitUntil(dueNanos);
                String key = probeKeys.get((int) (i % probeKeys.size()));
                CallSender.OutgoingCall probe =
                        new CallSender.OutgoingCall(service, key, "GET", null, 1, List.of(), NO_BODY, true);
                int router = (int) (i + i / probeKeys.size());
                client.send(probe, router, dueNanos).subscribe(results::accept);
            }
        }
    }
}
