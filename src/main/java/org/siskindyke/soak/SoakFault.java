package org.siskindyke.soak;

import java.util.function.Consumer;

import org.siskindyke.standin.StoreStandin.Fault;

/** Kinds of faults; each is done to a running cluster and undone when its time is over. */
public enum SoakFault {
    /** A router is killed and starts again. */
    KILL_ROUTER(Component.ROUTER, false, SoakInstance::killRouter, SoakInstance::startRouter),
    /** A router is asked to stop, and starts again once it has. */
    STOP_ROUTER(Component.ROUTER, true, SoakInstance::stopRouter, SoakInstance::restartStoppedRouter),
    /** A router stands still. */
    FREEZE_ROUTER(Component.ROUTER, false, SoakInstance::freezeRouter, SoakInstance::thawRouter),
    /** A backend server crashes and starts again under its name. */
    CRASH_TARGET(Component.TARGET, false, SoakInstance::killTarget, SoakInstance::startTarget),
    /** A backend server stands still. */
    FREEZE_TARGET(Component.TARGET, false, SoakInstance::freezeTarget, SoakInstance::thawTarget),
    /** A backend server leaves in order; another takes its place. */
    REPLACE_TARGET(Component.TARGET, true, SoakInstance::leaveTarget, SoakInstance::replaceTarget),
    /** A machine loses power: router and backend server. */
    LOSE_MACHINE(Component.MACHINE, false, SoakInstance::killBoth, SoakInstance::startBoth),
    /** The store does not answer. */
    STORE_SILENT(Fault.SILENT),
    /** The store refuses. */
    STORE_BUSY(Fault.BUSY),
    /** The store is slow. */
    STORE_SLOW(Fault.SLOW),
    /** The store does what it is asked and does not say so. */
    STORE_ANSWER_LOST(Fault.ANSWER_LOST),
    /** The store does what it is asked later, and does not say so. */
    STORE_LATE(Fault.LATE_WRITE),
    /** The store has dropped its history. */
    STORE_HISTORY_GONE(Fault.HISTORY_GONE),
    /** One router's connections to the store deliver nothing more in one direction. */
    LINK_ONE_WAY(FaultProxy.Mode.ONE_WAY),
    /** One router's connections to the store fall silent. */
    LINK_SILENT(FaultProxy.Mode.SILENT),
    /** One router's connections to the store are reset. */
    LINK_RESET(FaultProxy.Mode.RESET),
    /** What one router says to the store and hears from it is late. */
    LINK_DELAYED(FaultProxy.Mode.DELAY),
    /** A router is told that its settings file has changed. */
    HANG_UP_ROUTER(Component.ROUTER, true, SoakInstance::hangUpRouter, SoakInstance::checkRouterIsAlive),
    /** The operator writes a configuration. */
    CHANGE_CONFIGURATION(
            Component.OPERATOR, true, (cluster, instanceIndex) -> cluster.configure(), (cluster, instanceIndex) -> {});

    /** Shortest time of a replacement: a backend server serves for the drain time after its acknowledgement. */
    private static final long MIN_REPLACEMENT_MILLIS = SoakTopology.DRAIN_MILLIS + 1_500;

    /** Time after which a router that wrongly took a signal for its end has ended. */
    private static final long MAX_STOP_MILLIS = SoakTopology.GRACE_SECONDS * 1_000L + 1_500;

    private final Component component;
    private final boolean planned;
    private final Change begin;
    private final Change end;

    /** Does something to an instance of a cluster, or to what all instances share. */
    private interface Change {
        void apply(SoakCluster cluster, int instanceIndex);
    }

    /** What faults meet; two faults of one part of an instance do not overlap. */
    enum Component {
        /** The router's process. */
        ROUTER,
        /** The backend server's process. */
        TARGET,
        /** Both processes. */
        MACHINE,
        /** The router's way to the store. */
        LINK,
        /** The store. */
        STORE,
        /** What the operator writes. */
        OPERATOR;

        /** Tells whether faults of both parts of an instance get in each other's way. */
        boolean conflictsWith(Component other) {
            boolean processes = ordinal() <= MACHINE.ordinal() && other.ordinal() <= MACHINE.ordinal();
            return this == other || processes && (this == MACHINE || other == MACHINE);
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

    /** Returns how long the fault lasts, of a time that was drawn. */
    long durationMillis(long drawnMillis) {
        return switch (this) {
            case REPLACE_TARGET -> Math.max(MIN_REPLACEMENT_MILLIS, drawnMillis);
            case HANG_UP_ROUTER -> Math.max(MAX_STOP_MILLIS, drawnMillis);
            default -> drawnMillis;
        };
    }

    /** Tells whether it is planned work. */
    boolean isPlanned() {
        return planned;
    }

    /** Tells whether it meets the store rather than one instance. */
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
