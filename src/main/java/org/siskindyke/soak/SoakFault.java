package org.siskindyke.soak;

import org.siskindyke.standin.StoreStandin.Fault;

/** Kinds of faults; each is done to a running cluster and undone when its time is over. */
public enum SoakFault {
    /** A router is killed and starts again. */
    KILL_ROUTER(Part.ROUTER, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).killRouter();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).startRouter();
        }
    },
    /** A router is asked to stop, and starts again once it has. */
    STOP_ROUTER(Part.ROUTER, true) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).stopRouter();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).awaitRouterEnd();
            cluster.node(instance).startRouter();
        }
    },
    /** A router stands still. */
    FREEZE_ROUTER(Part.ROUTER, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).freezeRouter();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).thawRouter();
        }
    },
    /** A backend server crashes and starts again under its name. */
    CRASH_TARGET(Part.TARGET, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).killTarget();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).startTarget();
        }
    },
    /** A backend server stands still. */
    FREEZE_TARGET(Part.TARGET, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).freezeTarget();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).thawTarget();
        }
    },
    /** A backend server leaves in order; another takes its place. */
    REPLACE_TARGET(Part.TARGET, true) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).leaveTarget();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).replaceTarget();
        }
    },
    /** A machine loses power: router and backend server. */
    LOSE_MACHINE(Part.MACHINE, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).killRouter();
            cluster.node(instance).killTarget();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).startRouter();
            cluster.node(instance).startTarget();
        }
    },
    /** The store does not answer. */
    STORE_SILENT(Part.STORE, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.store().setFault(Fault.SILENT);
        }
    },
    /** The store refuses. */
    STORE_BUSY(Part.STORE, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.store().setFault(Fault.BUSY);
        }
    },
    /** The store is slow. */
    STORE_SLOW(Part.STORE, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.store().setFault(Fault.SLOW);
        }
    },
    /** The store does what it is asked and does not say so. */
    STORE_ANSWER_LOST(Part.STORE, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.store().setFault(Fault.ANSWER_LOST);
        }
    },
    /** The store does what it is asked later, and does not say so. */
    STORE_LATE(Part.STORE, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.store().setFault(Fault.LATE_WRITE);
        }
    },
    /** The store has dropped its history. */
    STORE_HISTORY_GONE(Part.STORE, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.store().setFault(Fault.HISTORY_GONE);
        }
    },
    /** One router's connections to the store deliver nothing more in one direction. */
    LINK_ONE_WAY(Part.LINK, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.ONE_WAY);
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.PASS);
        }
    },
    /** One router's connections to the store fall silent. */
    LINK_SILENT(Part.LINK, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.SILENT);
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.PASS);
        }
    },
    /** One router's connections to the store are reset. */
    LINK_RESET(Part.LINK, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.RESET);
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.PASS);
        }
    },
    /** What one router says to the store and hears from it is late. */
    LINK_DELAYED(Part.LINK, false) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.DELAY);
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).setLink(FaultProxy.Mode.PASS);
        }
    },
    /** A router is told that its settings file has changed. */
    HANG_UP_ROUTER(Part.ROUTER, true) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.node(instance).hangUpRouter();
        }

        @Override
        void end(SoakCluster cluster, int instance) {
            cluster.node(instance).checkRouter();
        }
    },
    /** The operator writes a configuration. */
    CHANGE_CONFIGURATION(Part.OPERATOR, true) {
        @Override
        void begin(SoakCluster cluster, int instance) {
            cluster.configure();
        }

        @Override
        void end(SoakCluster cluster, int instance) {}
    };

    /** Shortest time of a replacement: a backend server serves for the drain time after its acknowledgement. */
    private static final long REPLACEMENT_MILLIS = SoakSite.DRAIN_MILLIS + 1_500;

    /** Time after which a router that wrongly took a signal for its end has ended. */
    private static final long STOP_MILLIS = SoakSite.GRACE_SECONDS * 1_000L + 1_500;

    private final Part part;
    private final boolean planned;

    /** What faults meet; two faults of one part of an instance do not overlap. */
    enum Part {
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
        boolean overlaps(Part other) {
            boolean processes = ordinal() <= MACHINE.ordinal() && other.ordinal() <= MACHINE.ordinal();
            return this == other || processes && (this == MACHINE || other == MACHINE);
        }
    }

    SoakFault(Part part, boolean planned) {
        this.part = part;
        this.planned = planned;
    }

    Part part() {
        return part;
    }

    /** Returns how long the fault lasts, of a time that was drawn. */
    long lengthMillis(long drawnMillis) {
        return switch (this) {
            case REPLACE_TARGET -> Math.max(REPLACEMENT_MILLIS, drawnMillis);
            case HANG_UP_ROUTER -> Math.max(STOP_MILLIS, drawnMillis);
            default -> drawnMillis;
        };
    }

    /** Tells whether it is planned work. */
    boolean isPlanned() {
        return planned;
    }

    /** Tells whether it meets the store rather than one instance. */
    boolean meetsStore() {
        return part == Part.STORE;
    }

    abstract void begin(SoakCluster cluster, int instance);

    void end(SoakCluster cluster, int instance) {
        cluster.store().setFault(Fault.NONE);
    }
}
