package org.siskindyke.soak;

import java.util.function.Consumer;

import org.siskindyke.standin.StoreStandin.Fault;

/**
 * Kinds of faults; each is applied to a running cluster and reverted after its duration. The order of the constants
 * decides what a seed draws.
 */
public enum SoakFault {
    /** A router is killed and then restarted. */
    KILL_ROUTER(Component.ROUTER, false, SoakInstance::killRouter, SoakInstance::startRouter),
    /** A router receives SIGTERM and is restarted once it has stopped. */
    STOP_ROUTER(
            Component.ROUTER,
            true,
            SoakCluster::stopRouter,
            (cluster, instanceIndex) -> cluster.instance(instanceIndex).restartStoppedRouter()),
    /** A router is frozen (SIGSTOP) and then thawed. */
    FREEZE_ROUTER(Component.ROUTER, false, SoakInstance::freezeRouter, SoakInstance::thawRouter),
    /** A backend server is killed and then restarted under the same name. */
    CRASH_TARGET(Component.TARGET, false, SoakInstance::killTarget, SoakInstance::startTarget),
    /** A backend server is frozen (SIGSTOP) and then thawed. */
    FREEZE_TARGET(Component.TARGET, false, SoakInstance::freezeTarget, SoakInstance::thawTarget),
    /** A backend server reports that it is draining, and is replaced by another one. */
    REPLACE_TARGET(Component.TARGET, true, SoakInstance::leaveTarget, SoakInstance::replaceTarget),
    /** A machine loses power: its router and backend server are killed together. */
    LOSE_MACHINE(Component.MACHINE, false, SoakInstance::killBoth, SoakInstance::startBoth),
    /** The store does not answer. */
    STORE_SILENT(Fault.SILENT),
    /** The store rejects requests as busy. */
    STORE_BUSY(Fault.BUSY),
    /** The store answers slowly. */
    STORE_SLOW(Fault.SLOW),
    /** The store applies writes, but the answer is lost. */
    STORE_ANSWER_LOST(Fault.ANSWER_LOST),
    /** The store applies writes late, and the answer is lost. */
    STORE_LATE(Fault.LATE_WRITE),
    /** The store has dropped its history of changes. */
    STORE_HISTORY_GONE(Fault.HISTORY_GONE),
    /** Connections of one router to the store deliver nothing from the store to the router. */
    LINK_ONE_WAY(FaultProxy.Mode.ONE_WAY),
    /** Connections of one router to the store deliver nothing in either direction. */
    LINK_SILENT(FaultProxy.Mode.SILENT),
    /** Connections of one router to the store are reset. */
    LINK_RESET(FaultProxy.Mode.RESET),
    /** Connections of one router to the store are delayed in both directions. */
    LINK_DELAYED(FaultProxy.Mode.DELAY),
    /** A router receives SIGHUP, on which it reloads its settings file. */
    HANG_UP_ROUTER(Component.ROUTER, true, SoakInstance::hangUpRouter, SoakInstance::checkRouterIsAlive),
    /** The operator writes a new configuration. */
    CHANGE_CONFIGURATION(
            Component.OPERATOR, true, (cluster, instanceIndex) -> cluster.configure(), (cluster, instanceIndex) -> {}),
    /** A caller sends, again and again, a request that ends each backend server which begins to run it. */
    CRASHING_REQUEST(
            Component.CALLERS,
            false,
            (cluster, instanceIndex) -> cluster.startCrashingRequest(),
            (cluster, instanceIndex) -> cluster.stopCrashingRequest()),
    /** Watches of the store hear nothing for a second; then its history is dropped and its reads are stale. */
    STORE_HISTORY_DROPPED(Fault.HISTORY_DROPPED),
    /** The open connections of the store go silent for good. */
    STORE_CONNECTIONS_SILENT(Fault.CONNECTIONS_SILENT),
    /** A backend server names a limit on requests in its responses. */
    LIMIT_TARGET(Component.TARGET, false, SoakInstance::limitTarget, SoakInstance::unlimitTarget),
    /** The store is away for a moment and comes back from a copy some seconds old. */
    STORE_RESTORED(Fault.RESTORED),
    /** Another program writes odd rows among those of the routers, and sends odd heartbeats to one of them. */
    ODD_ENTRIES(
            Component.WRITER,
            false,
            (cluster, instanceIndex) -> cluster.writeOddEntries(instanceIndex),
            (cluster, instanceIndex) -> {}),
    /** A backend server writes a refusal that names no request after each of its responses. */
    STRAY_RESPONSES(Component.TARGET, false, SoakInstance::writeStrayResponses, SoakInstance::stopStrayResponses),
    /** A backend server deregisters and serves on, while some of its heartbeats arrive late; then it is replaced. */
    DEREGISTER_TARGET(Component.TARGET, true, SoakInstance::deregisterTarget, SoakInstance::replaceTarget),
    /** All routers are killed at the same time and then restarted. */
    KILL_ALL_ROUTERS(
            Component.ALL_ROUTERS,
            false,
            (cluster, instanceIndex) -> cluster.killAllRouters(),
            (cluster, instanceIndex) -> cluster.startAllRouters()),
    /** The connections of other routers to one are reset several times in a row. */
    RESET_PEERS(Component.PEERS, false, SoakInstance::resetPeers, instance -> {}),
    /** A backend server, and those that replace it, write each response once more, late. */
    STUTTER(Component.RESPONSES, false, SoakInstance::stutter, SoakInstance::stopStuttering),
    /** The operator evacuates the failure domain of an instance, and takes it back. */
    EVACUATE_DOMAIN(
            Component.ORDERS,
            true,
            (cluster, instanceIndex) -> cluster.evacuate(instanceIndex, true),
            (cluster, instanceIndex) -> cluster.evacuate(instanceIndex, false));

    /** Longer than the late heartbeats of a backend server that has deregistered are under way. */
    private static final long MIN_DEREGISTERED_MILLIS = 7_000;

    /** A leaving backend server may receive requests until the drain time after its acknowledgement has passed. */
    private static final long MIN_REPLACEMENT_MILLIS = SoakTopology.DRAIN_MILLIS + 1_500;

    /** Longer than the time after the third crash from which on the users' platform counts runs. */
    private static final long MIN_CRASHING_MILLIS = 8_000;

    /** The time after which the limit must be kept and twice the window in which requests are counted. */
    private static final long MIN_LIMITED_MILLIS = 11_000;

    /** The time within which an evacuation must be in force, and as long again. */
    private static final long MIN_EVACUATED_MILLIS = 2 * SoakInvariants.MAX_EVACUATION_MILLIS;

    /** Longest time that a router takes to stop, also if it wrongly treats SIGHUP as a request to do so. */
    private static final long MAX_STOP_MILLIS = SoakTopology.GRACE_SECONDS * 1_000L + 1_500;

    private final Component component;
    private final boolean planned;
    private final Change begin;
    private final Change end;

    /** Applies or reverts a fault at an instance of a cluster, or at a component that all instances share. */
    private interface Change {
        void apply(SoakCluster cluster, int instanceIndex);
    }

    /** The component that a fault affects; faults of one component of an instance never overlap in time. */
    enum Component {
        /** The router's process. */
        ROUTER,
        /** The backend server's process. */
        TARGET,
        /** Both processes. */
        MACHINE,
        /** The routers' processes of all instances. */
        ALL_ROUTERS,
        /** The connections from the router to the store. */
        LINK,
        /** The connections from other routers to the router. */
        PEERS,
        /** The responses of the backend server. */
        RESPONSES,
        /** The store. */
        STORE,
        /** The configuration that the operator writes. */
        OPERATOR,
        /** The evacuation orders that the operator writes. */
        ORDERS,
        /** The callers. */
        CALLERS,
        /** Another program that writes to the store and to a router. */
        WRITER;

        /** Returns whether faults of these two components must not overlap in time, where they affect one instance. */
        boolean conflictsWith(Component other) {
            return this == other || includes(other) || other.includes(this);
        }

        private boolean includes(Component other) {
            return switch (this) {
                case MACHINE -> other == ROUTER || other == TARGET;
                case ALL_ROUTERS -> other == ROUTER || other == MACHINE;
                default -> false;
            };
        }

        /** Returns whether a fault of this component may stop or end a router. */
        boolean affectsRouters() {
            return this == ROUTER || this == MACHINE || this == ALL_ROUTERS;
        }

        /** Returns whether there is one of this component only, whatever the instance that a fault names. */
        boolean isShared() {
            return this == ALL_ROUTERS || this == STORE || this == OPERATOR || this == ORDERS || this == CALLERS;
        }
    }

    SoakFault(Component component, boolean planned, Change begin, Change end) {
        this.component = component;
        this.planned = planned;
        this.begin = begin;
        this.end = end;
    }

    SoakFault(Component component, boolean planned, Consumer<SoakInstance> begin, Consumer<SoakInstance> end) {
        this(component, planned, onInstance(begin), onInstance(end));
    }

    SoakFault(Fault fault) {
        this(
                Component.STORE,
                false,
                (cluster, instanceIndex) -> cluster.store().setFault(fault),
                (cluster, instanceIndex) -> cluster.store().setFault(Fault.NONE));
    }

    SoakFault(FaultProxy.Mode mode) {
        this(
                Component.LINK,
                false,
                instance -> instance.setLink(mode),
                instance -> instance.setLink(FaultProxy.Mode.PASS));
    }

    private static Change onInstance(Consumer<SoakInstance> change) {
        return (cluster, instanceIndex) -> change.accept(cluster.instance(instanceIndex));
    }

    Component component() {
        return component;
    }

    /** Returns the duration of the fault: the drawn one, or a longer minimum that the fault needs. */
    long durationMillis(long drawnMillis) {
        return switch (this) {
            case DEREGISTER_TARGET -> Math.max(MIN_DEREGISTERED_MILLIS, drawnMillis);
            case REPLACE_TARGET -> Math.max(MIN_REPLACEMENT_MILLIS, drawnMillis);
            case CRASHING_REQUEST -> Math.max(MIN_CRASHING_MILLIS, drawnMillis);
            case LIMIT_TARGET -> Math.max(MIN_LIMITED_MILLIS, drawnMillis);
            case EVACUATE_DOMAIN -> Math.max(MIN_EVACUATED_MILLIS, drawnMillis);
            case STOP_ROUTER, HANG_UP_ROUTER -> Math.max(MAX_STOP_MILLIS, drawnMillis);
            default -> drawnMillis;
        };
    }

    /** Returns whether the fault is planned work of operators, during which no request may be interrupted. */
    boolean isPlanned() {
        return planned;
    }

    /** Returns whether the fault affects the store rather than one instance. */
    boolean affectsStore() {
        return component == Component.STORE;
    }

    void begin(SoakCluster cluster, int instanceIndex) {
        begin.apply(cluster, instanceIndex);
    }

    void end(SoakCluster cluster, int instanceIndex) {
        end.apply(cluster, instanceIndex);
    }
}
