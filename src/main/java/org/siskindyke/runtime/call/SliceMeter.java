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

import org.siskindyke.kernel.balance.RecentArrivals;
import org.siskindyke.kernel.balance.SliceLoad;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.control.LoadSource;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Measures the call rate of each slice and the mean call duration of each service, as exponential moving averages.
 *
 * <p>Calls may be recorded on any thread; {@link #updateAverages} runs on the control thread only.
 */
public final class SliceMeter implements LoadSource {
    private static final long UPDATE_INTERVAL_MILLIS = 1_000;
    private static final double PREVIOUS_AVERAGE_WEIGHT = 0.7;

    /** Rate below which a slice is forgotten, so that the work for each update follows those in use. */
    private static final double MIN_CALLS_PER_SECOND = 0.001;

    private final MonotonicClock clock;
    private final Function<ServiceName, OptionalInt> slots;
    private final Map<SliceRef, LongAdder> calls = new ConcurrentHashMap<>();
    private final Map<ServiceName, LongAdder> busyNanos = new ConcurrentHashMap<>();
    private final Map<SliceRef, Double> callsPerSecond = new ConcurrentHashMap<>();
    private final Map<ServiceName, Double> millisPerCall = new ConcurrentHashMap<>();
    private final Map<ServiceName, RecentArrivals> arrivals = new ConcurrentHashMap<>();
    private long lastUpdateMillis;

    /**
     * Creates a meter.
     *
     * @param clock the clock
     * @param slots returns the number of slots of a service's target; empty if none is beside this router
     */
    public SliceMeter(MonotonicClock clock, Function<ServiceName, OptionalInt> slots) {
        this.clock = clock;
        this.slots = slots;
        this.lastUpdateMillis = clock.nowMillis();
    }

    /** Records that a call for this router's backend server has arrived, whether or not it is sent there. */
    public void onArrival(SliceRef slice) {
        arrivals.computeIfAbsent(slice.service(), s -> new RecentArrivals())
                .onArrival(slice.index(), clock.nowMillis());
    }

    @Override
    public double recentCallsPerSecond(ServiceName service) {
        RecentArrivals recent = arrivals.get(service);
        return recent == null ? 0 : recent.callsPerSecond(clock.nowMillis());
    }

    @Override
    public List<SliceLoad> recentSliceLoads(ServiceName service) {
        RecentArrivals recent = arrivals.get(service);
        return recent == null ? List.of() : recent.sliceLoads(clock.nowMillis());
    }

    /** Records the end of a call that was sent to a backend server, and its duration. */
    public void onCall(SliceRef slice, long tookNanos) {
        calls.computeIfAbsent(slice, s -> new LongAdder()).increment();
        busyNanos.computeIfAbsent(slice.service(), s -> new LongAdder()).add(tookNanos);
    }

    /** Adds the counts since the last update to the averages; does nothing within a second of that update. */
    public void updateAverages() {
        long elapsedMillis = clock.nowMillis() - lastUpdateMillis;
        if (elapsedMillis < UPDATE_INTERVAL_MILLIS) {
            return;
        }
        lastUpdateMillis += elapsedMillis;
        Map<ServiceName, Long> counts = new ConcurrentHashMap<>();
        calls.forEach((slice, adder) -> {
            long count = adder.sumThenReset();
            counts.merge(slice.service(), count, Long::sum);
            double rate = count * (double) TimeUnit.SECONDS.toMillis(1) / elapsedMillis;
            // An average begins at 0: many slices get a call only now and then, and each would count several times.
            double before = callsPerSecond.getOrDefault(slice, 0.0);
            callsPerSecond.put(slice, before * PREVIOUS_AVERAGE_WEIGHT + rate * (1 - PREVIOUS_AVERAGE_WEIGHT));
        });
        callsPerSecond
                .entrySet()
                .removeIf(slice -> slice.getValue() < MIN_CALLS_PER_SECOND && calls.remove(slice.getKey()) != null);
        busyNanos.forEach((service, adder) -> updateMillisPerCall(service, adder, counts.getOrDefault(service, 0L)));
    }

    private void updateMillisPerCall(ServiceName service, LongAdder busy, long count) {
        double millis = busy.sumThenReset() / (double) TimeUnit.MILLISECONDS.toNanos(1);
        if (count > 0) {
            millisPerCall.merge(
                    service,
                    millis / count,
                    (before, now) -> before * PREVIOUS_AVERAGE_WEIGHT + now * (1 - PREVIOUS_AVERAGE_WEIGHT));
        }
    }

    @Override
    public Optional<TargetUsage> usage(ServiceName service, List<Integer> owned) {
        OptionalInt targetSlots = slots.apply(service);
        if (targetSlots.isEmpty()) {
            return Optional.empty();
        }
        double rate = sliceLoads(service, owned).stream()
                .mapToDouble(SliceLoad::callsPerSecond)
                .sum();
        double millis = millisPerCall.getOrDefault(service, 1.0);
        return Optional.of(new TargetUsage(rate, millis, targetSlots.getAsInt(), owned.size()));
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
