package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Optional;

import org.siskindyke.kernel.balance.SliceLoad;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.id.ServiceName;

/** Measures the load of the backend servers beside this router. */
public interface LoadSource {
    /** A source without backend servers. */
    LoadSource NONE = new LoadSource() {
        @Override
        public Optional<TargetUsage> usage(ServiceName service, List<Integer> owned) {
            return Optional.empty();
        }

        @Override
        public List<SliceLoad> sliceLoads(ServiceName service, List<Integer> owned) {
            return List.of();
        }
    };

    /**
     * Returns the load of this router's backend server of a service; empty where it has none.
     *
     * @param service the service
     * @param owned indexes of the slices that this member owns
     */
    Optional<TargetUsage> usage(ServiceName service, List<Integer> owned);

    /** Returns the load of each owned slice. */
    List<SliceLoad> sliceLoads(ServiceName service, List<Integer> owned);

    /** Returns the calls per second that have arrived within the last moments for this router's backend server. */
    default double recentCallsPerSecond(ServiceName service) {
        return 0;
    }

    /** Returns the slices to which these calls belong, with the calls per second for each. */
    default List<SliceLoad> recentSliceLoads(ServiceName service) {
        return List.of();
    }
}
