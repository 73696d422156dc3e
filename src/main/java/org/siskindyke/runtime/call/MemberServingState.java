package org.siskindyke.runtime.call;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;

import org.siskindyke.kernel.call.SliceGate;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.control.SliceTraffic;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * The state that decides whether one member may serve a call: its lease, the slices it owns and those being handed
 * over. Used by traffic threads and the control thread.
 *
 * <p>Belongs to one incarnation; a router that rejoins after it was declared dead creates a new one.
 */
public final class MemberServingState implements SliceTraffic {
    private final MemberId self;
    private final ClusterView view;
    private final MonotonicClock clock;
    private final BiConsumer<Runnable, Long> scheduler;
    private final ToLongFunction<ServiceName> frozenUntilMillis;
    private final Map<SliceRef, SliceGate> gates = new ConcurrentHashMap<>();
    private final AtomicInteger callsInProgress = new AtomicInteger();
    private volatile long leaseEndMillis = Long.MIN_VALUE;

    /**
     * Creates the state of a member without a lease.
     *
     * @param self the member
     * @param view the replicated state of the table
     * @param clock the clock
     * @param scheduler runs an action on the control thread after a delay in milliseconds
     * @param frozenUntilMillis returns the time, by the monotonic clock, until which a service's backend server that
     *     does not respond might run calls; {@link Long#MIN_VALUE} if it responds or was never granted anything
     */
    public MemberServingState(
            MemberId self,
            ClusterView view,
            MonotonicClock clock,
            BiConsumer<Runnable, Long> scheduler,
            ToLongFunction<ServiceName> frozenUntilMillis) {
        this.self = self;
        this.view = view;
        this.clock = clock;
        this.scheduler = scheduler;
        this.frozenUntilMillis = frozenUntilMillis;
    }

    public MemberId self() {
        return self;
    }

    /** Returns the replicated state of the table. */
    public ClusterView view() {
        return view;
    }

    /** Returns the end of the member's lease, by its own monotonic clock; {@link Long#MIN_VALUE} before the first. */
    public long leaseEndMillis() {
        return leaseEndMillis;
    }

    /** Returns whether the member's lease is valid at present. */
    public boolean hasLease() {
        return clock.nowMillis() < leaseEndMillis;
    }

    /** Sets the end of the member's lease, by its own monotonic clock. */
    public void setLeaseEndMillis(long endMillis) {
        leaseEndMillis = endMillis;
    }

    /** Returns the ownership under which the member may serve a slice at present; empty if it may not. */
    public Optional<SliceOwner> usableOwnership(SliceRef slice) {
        long nowMillis = clock.nowMillis();
        return view.ownership()
                .owner(slice)
                .filter(owner -> nowMillis < leaseEndMillis && owner.isUsableBy(self, nowMillis));
    }

    /** Returns the gate that rejects the calls of a slice while it is handed over; creates it at the first use. */
    public SliceGate gate(SliceRef slice) {
        return gates.computeIfAbsent(slice, s -> new SliceGate());
    }

    /** Adds a call to those in progress. */
    public void onCallStarted() {
        callsInProgress.incrementAndGet();
    }

    /** Removes a call from those in progress. */
    public void onCallEnded() {
        callsInProgress.decrementAndGet();
    }

    /** Returns the number of calls in progress at the backend servers beside this router. */
    public int callsInProgress() {
        return callsInProgress.get();
    }

    @Override
    public void pause(Collection<SliceRef> slices, Runnable whenIdle) {
        AtomicInteger busySlices = new AtomicInteger(slices.size());
        for (SliceRef slice : slices) {
            SliceGate gate = gate(slice);
            gate.pause(() -> {
                long idleMillis =
                        Math.max(gate.latestUnfinishedEndMillis(), frozenUntilMillis.applyAsLong(slice.service()));
                long nowMillis = clock.nowMillis();
                long waitMillis = idleMillis > nowMillis ? idleMillis - nowMillis : 0;
                scheduler.accept(() -> countIdle(busySlices, whenIdle), waitMillis);
            });
        }
    }

    private static void countIdle(AtomicInteger busySlices, Runnable whenIdle) {
        if (busySlices.decrementAndGet() == 0) {
            whenIdle.run();
        }
    }

    @Override
    public void resume(Collection<SliceRef> slices) {
        slices.forEach(slice -> gate(slice).resume());
    }
}
