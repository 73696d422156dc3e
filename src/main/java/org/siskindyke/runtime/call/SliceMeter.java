package org.siskindyke.runtime.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;

import org.siskindyke.kernel.balance.SliceLoad;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.control.LoadSource;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Measures calls and their duration by slice. Calls are counted on any thread, averages belong to the control
 * thread.
 */
public final class SliceMeter implements LoadSource {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final double KEEP = 0.7;

    private final MonotonicClock clock;
    private final Function<ServiceName, OptionalInt> slots;
    private final Map<SliceRef, LongAdder> calls = new ConcurrentHashMap<>();
    private final Map<ServiceName, LongAdder> busyNanos = new ConcurrentHashMap<>();
    private final Map<SliceRef, Double> callsPerSecond = new ConcurrentHashMap<>();
    private final Map<ServiceName, Double> millisPerCall = new ConcurrentHashMap<>();
    private long averagedMillis;

    /**
     * Creates a meter.
     *
     * @param clock the clock
     * @param slots tells the slots of the target of a service, empty where there is none beside this router
     */
    public SliceMeter(MonotonicClock clock, Function<ServiceName, OptionalInt> slots) {
        this.clock = clock;
        this.slots = slots;
        this.averagedMillis = clock.nowMillis();
    }

    /** Counts a call that a backend server has answered. */
    public void onCall(SliceRef slice, long tookNanos) {
        calls.computeIfAbsent(slice, s -> new LongAdder()).increment();
        busyNanos.computeIfAbsent(slice.service(), s -> new LongAdder()).add(tookNanos);
    }

    /** Takes counts into the averages once a second. */
    public void updateAverages() {
        long elapsedMillis = clock.nowMillis() - averagedMillis;
        if (elapsedMillis < INTERVAL_MILLIS) {
            return;
        }
        averagedMillis += elapsedMillis;
        Map<ServiceName, Long> counts = new ConcurrentHashMap<>();
        calls.forEach((slice, adder) -> {
            long count = adder.sumThenReset();
            counts.merge(slice.service(), count, Long::sum);
            double rate = count * (double) TimeUnit.SECONDS.toMillis(1) / elapsedMillis;
            callsPerSecond.merge(slice, rate, (before, now) -> before * KEEP + now * (1 - KEEP));
        });
        busyNanos.forEach((service, adder) -> averageDuration(service, adder, counts.getOrDefault(service, 0L)));
    }

    private void averageDuration(ServiceName service, LongAdder busy, long count) {
        double millis = busy.sumThenReset() / (double) TimeUnit.MILLISECONDS.toNanos(1);
        if (count > 0) {
            millisPerCall.merge(service, millis / count, (before, now) -> before * KEEP + now * (1 - KEEP));
        }
    }

    @Override
    public Optional<TargetUsage> usage(ServiceName service, List<Integer> owned) {
        OptionalInt present = slots.apply(service);
        if (present.isEmpty()) {
            return Optional.empty();
        }
        double rate = sliceLoads(service, owned).stream()
                .mapToDouble(SliceLoad::callsPerSecond)
                .sum();
        double millis = millisPerCall.getOrDefault(service, 1.0);
        return Optional.of(new TargetUsage(rate, millis, present.getAsInt(), owned.size()));
    }

    @Override
    public List<SliceLoad> sliceLoads(ServiceName service, List<Integer> owned) {
        List<SliceLoad> loads = new ArrayList<>(owned.size());
        for (int index : owned) {
            loads.add(new SliceLoad(index, callsPerSecond.getOrDefault(new SliceRef(service, index), 0.0)));
        }
        return loads;
    }
}
