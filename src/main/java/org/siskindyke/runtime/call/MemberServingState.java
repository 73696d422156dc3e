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
 * What traffic threads know of one member: its lease, what it owns and which slices are being handed over.
 *
 * <p>Belongs to one incarnation; a router that returns after being declared dead makes a new one.
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
     * @param view what is known of the table
     * @param clock the clock
     * @param scheduler runs an action on the control thread after a delay in milliseconds
     * @param frozenUntilMillis returns the moment until which a frozen backend server of a service might run calls
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

    /** Returns the member. */
    public MemberId self() {
        return self;
    }

    /** Returns what is known of the table. */
    public ClusterView view() {
        return view;
    }

    /** Returns the end of the member's lease, by its own clock. */
    public long leaseEndMillis() {
        return leaseEndMillis;
    }

    /** Tells whether the member may serve at this moment. */
    public boolean hasLease() {
        return clock.nowMillis() < leaseEndMillis;
    }

    /** Records the end of the member's lease. */
    public void setLeaseEndMillis(long endMillis) {
        leaseEndMillis = endMillis;
    }

    /** Returns the ownership under which the member may serve a slice at this moment. */
    public Optional<SliceOwner> usableOwnership(SliceRef slice) {
        long nowMillis = clock.nowMillis();
        return view.ownership()
                .owner(slice)
                .filter(owner -> nowMillis < leaseEndMillis && owner.isUsableBy(self, nowMillis));
    }

    /** Returns the gate of a slice. */
    public SliceGate gate(SliceRef slice) {
        return gates.computeIfAbsent(slice, s -> new SliceGate());
    }

    /** Counts a call at the backend server beside this router. */
    public void onCallStarted() {
        callsInProgress.incrementAndGet();
    }

    /** Ends the count of a call. */
    public void onCallEnded() {
        callsInProgress.decrementAndGet();
    }

    /** Returns the calls in progress at the backend servers beside this router. */
    public int callsInProgress() {
        return callsInProgress.get();
    }

    @Override
    public void pause(Collection<SliceRef> slices, Runnable whenIdle) {
        AtomicInteger busy = new AtomicInteger(slices.size());
        for (SliceRef slice : slices) {
            SliceGate gate = gate(slice);
            gate.pause(() -> {
                long idleMillis =
                        Math.max(gate.latestUnfinishedEndMillis(), frozenUntilMillis.applyAsLong(slice.service()));
                long nowMillis = clock.nowMillis();
                long waitMillis = idleMillis > nowMillis ? idleMillis - nowMillis : 0;
                scheduler.accept(() -> countIdle(busy, whenIdle), waitMillis);
            });
        }
    }

    private static void countIdle(AtomicInteger busy, Runnable whenIdle) {
        if (busy.decrementAndGet() == 0) {
            whenIdle.run();
        }
    }

    @Override
    public void resume(Collection<SliceRef> slices) {
        slices.forEach(slice -> gate(slice).resume());
    }
}
