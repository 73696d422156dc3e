package org.siskindyke.runtime.traffic;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import org.siskindyke.kernel.call.PriorityAdmission;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CrashGuard;
import org.siskindyke.runtime.call.SliceMeter;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Submits calls while the router stops. Its backend server has no slots: a call that is taken finds it full. */
class StoppingDispatcherTest {
    private static final ServiceName SERVICE = ServiceName.of("records");
    private static final long NOW_MILLIS = 10_000;
    private static final long END_MILLIS = 12_000;

    private final TrafficLoop traffic = new TrafficLoop();
    private final List<Refusal> refusals = new ArrayList<>();

    private BackendDispatcher newDispatcher() {
        MonotonicClock clock = () -> NOW_MILLIS;
        CrashGuard crashGuard = new CrashGuard(clock, ClusterView::new, () -> MemberId.TABLE);
        EventLog log = new EventLog("test", new PrintStream(PrintStream.nullOutputStream()));
        BackendDispatcher dispatcher = new BackendDispatcher(
                traffic,
                clock,
                null,
                new SliceMeter(clock, service -> OptionalInt.empty()),
                (service, slice) -> true,
                new BackendDispatcher.Policies(crashGuard, PriorityAdmission::new),
                null,
                log);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        dispatcher.setTarget(new LocalTargetInfo(SERVICE, TargetName.of("i-1"), 1, address, 0, 1, false));
        dispatcher.setTargetAccepting(true);
        return dispatcher;
    }

    private void submit(BackendDispatcher dispatcher, boolean nested, long deadlineMillis) {
        SchedulingAttributes scheduling = new SchedulingAttributes("lookup", 1, NOW_MILLIS, nested, false, false);
        Call call = new Call(
                "r" + refusals.size(),
                ClientAccount.of("catalogue"),
                SERVICE,
                null,
                null,
                "GET",
                "/",
                List.of(),
                new byte[0],
                deadlineMillis,
                true,
                scheduling);
        dispatcher.submit(call, reply -> refusals.add(reply.refusal()));
    }

    private List<Refusal> submitWhileStopping() {
        BackendDispatcher dispatcher = newDispatcher();
        dispatcher.startStopping(END_MILLIS);
        submit(dispatcher, true, END_MILLIS);
        submit(dispatcher, true, END_MILLIS + 1);
        submit(dispatcher, false, END_MILLIS);
        dispatcher.refuseNested();
        submit(dispatcher, true, END_MILLIS);
        return refusals;
    }

    /** Guards against runs that fail since they call a service whose routers stop, though these still wait for runs. */
    @Example
    void onlyNestedCallsThatEndInTimeAreTakenUntilTheRunsHaveEnded() {
        assertEquals(
                List.of(Refusal.QUEUE_FULL, Refusal.LEAVING, Refusal.LEAVING, Refusal.LEAVING),
                CompletableFuture.supplyAsync(this::submitWhileStopping, traffic::execute)
                        .join());
    }
}
