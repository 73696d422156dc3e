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
 * Sends calls at a fixed rate, whether or not earlier ones have been answered.
 *
 * <p>Orders carry an Idempotency-Key. An order whose outcome is not clear may be sent again with the same key.
 */
public final class LoadGenerator {
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final byte[] NO_BODY = {};
    private static final byte[] ORDER_BODY = {'o', 'r', 'd', 'e', 'r'};
    private static final int PERCENT = 100;
    private static final int MOST_ATTEMPTS = 4;
    private static final int MOST_IN_FLIGHT = 20_000;
    private static final long DRAIN_NANOS = 15 * NANOS_PER_SECOND;

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
     * @param settings what load to make
     * @param client sends calls
     * @param results receives each call's outcome, on any thread
     */
    public LoadGenerator(LoadSettings settings, CallSender client, Consumer<CallRecord> results) {
        this.settings = settings;
        this.client = client;
        this.results = results;
        this.random = new Random(settings.seed());
        this.keys = new ZipfKeys("k", settings.keys(), settings.zipfExponent());
    }

    /** Returns the keys, so that hot ones can be changed while the load runs. */
    public ZipfKeys keys() {
        return keys;
    }

    /** Ends the load before its time. */
    public void stop() {
        stopped.set(true);
    }

    /** Sends for the whole duration, then waits for the last outcomes. */
    public void run() {
        long startNanos = System.nanoTime();
        long intervalNanos = (long) (NANOS_PER_SECOND / settings.ratePerSecond());
        long calls = settings.durationMillis() * 1_000_000 / intervalNanos;
        for (long i = 0; i < calls && !stopped.get(); i++) {
            long dueNanos = startNanos + i * intervalNanos;
            waitUntil(dueNanos);
            if (inFlight.get() < MOST_IN_FLIGHT) {
                send(next(), dueNanos);
            }
        }
        long drainUntilNanos = System.nanoTime() + DRAIN_NANOS;
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

    private CallSender.OutgoingCall next() {
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
        boolean mayResend = random.nextInt(PERCENT) < settings.retryPercent();
        client.send(call, router, dueNanos).subscribe(record -> {
            results.accept(record);
            boolean unclear = !record.isServed() && !Verdict.RAN.name().equals(record.verdict());
            boolean resend = call.idempotencyKey() != null && unclear && mayResend && call.attempt() < MOST_ATTEMPTS;
            if (resend) {
                send(again(call), System.nanoTime());
            }
            inFlight.decrementAndGet();
        });
    }

    private static CallSender.OutgoingCall again(CallSender.OutgoingCall call) {
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

    /** Sends one probe of each key in turn, at a fixed interval, until stopped. */
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
         * @param service the service
         * @param probeKeys the keys to probe
         * @param intervalMillis interval between probes of one key
         * @param client sends calls
         * @param results receives each probe's outcome
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

        /** Stops after the present probe. */
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
