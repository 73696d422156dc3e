package org.siskindyke.runtime;

import java.lang.System.Logger.Level;
import java.util.concurrent.atomic.AtomicLong;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CallObserver;
import org.siskindyke.runtime.call.LocalTarget;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.call.MemberServingState;

/** Checks at each dispatch what must always hold. Violations are counted and logged, and fatal in tests. */
public final class InvariantMonitor implements CallObserver {
    /** System property that makes violations fatal. */
    public static final String FATAL_PROPERTY = "siskindyke.invariants.fatal";

    private static final System.Logger LOGGER = System.getLogger(InvariantMonitor.class.getName());

    private final boolean fatal = Boolean.getBoolean(FATAL_PROPERTY);
    private final AtomicLong violations = new AtomicLong();
    private final CallObserver next;

    /** Creates a monitor that passes what it learns on. */
    public InvariantMonitor(CallObserver next) {
        this.next = next;
    }

    /** Returns the number of violations seen. */
    public long violations() {
        return violations.get();
    }

    @Override
    public void onDispatch(Call call, MemberServingState state, long generation, long leaseEndMillis, long nowMillis) {
        if (nowMillis >= leaseEndMillis) {
            report("dispatch outside a lease, call=" + call.id());
        }
        if (call.slice() != null && state.usableOwnership(call.slice()).isEmpty() && state.hasLease()) {
            report("dispatch of a slice that is not owned, call=" + call.id() + " slice=" + call.slice());
        }
        next.onDispatch(call, state, generation, leaseEndMillis, nowMillis);
    }

    @Override
    public void onReply(Call call, LocalTarget target, Reply reply) {
        next.onReply(call, target, reply);
    }

    /** Counts and logs a violation. */
    public void report(String what) {
        violations.incrementAndGet();
        LOGGER.log(Level.ERROR, "event=invariant-violated what=\"" + what + "\"");
        if (fatal) {
            throw new SiskindykeException(ErrorCode.INVARIANT_VIOLATED, what);
        }
    }
}
