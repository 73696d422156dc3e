package org.siskindyke.runtime;

import java.lang.System.Logger.Level;
import java.util.concurrent.atomic.AtomicLong;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CallObserver;
import org.siskindyke.runtime.call.LocalTarget;
import org.siskindyke.runtime.call.MemberServingState;
import org.siskindyke.runtime.call.Reply;

/**
 * Checks the safety invariants at each dispatch of a call: the member has a valid lease and owns the slice. Violations
 * are counted and logged; if {@link #FATAL_PROPERTY} is true, they also throw.
 */
public final class InvariantMonitor implements CallObserver {
    /** Boolean system property that makes violations throw. */
    public static final String FATAL_PROPERTY = "siskindyke.invariants.fatal";

    private static final System.Logger LOGGER = System.getLogger(InvariantMonitor.class.getName());

    private final boolean fatal = Boolean.getBoolean(FATAL_PROPERTY);
    private final AtomicLong violations = new AtomicLong();
    private final CallObserver next;

    /** Creates a monitor that passes each event on to the next observer. */
    public InvariantMonitor(CallObserver next) {
        this.next = next;
    }

    /** Returns the number of violations since the start. */
    public long violations() {
        return violations.get();
    }

    @Override
    public void onDispatch(Call call, MemberServingState state, long generation, long leaseEndMillis, long nowMillis) {
        if (nowMillis >= leaseEndMillis) {
            report("dispatch without a valid lease, call=" + call.id());
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

    /**
     * Counts and logs a violation.
     *
     * @param violation description of the violation
     * @throws SiskindykeException with code {@code INVARIANT_VIOLATED} if violations are fatal
     */
    public void report(String violation) {
        violations.incrementAndGet();
        LOGGER.log(Level.ERROR, "event=invariant-violated what=\"" + violation + "\"");
        if (fatal) {
            throw new SiskindykeException(ErrorCode.INVARIANT_VIOLATED, violation);
        }
    }
}
