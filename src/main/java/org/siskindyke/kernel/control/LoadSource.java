package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Optional;

import org.siskindyke.kernel.balance.SliceLoad;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.id.ServiceName;

/** Tells how busy the targets beside this router are. */
public interface LoadSource {
    /** Knows of no target. */
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
     * Returns how busy a target is.
     *
     * @param service the service
     * @param owned indexes of the slices it owns
     */
    Optional<TargetUsage> usage(ServiceName service, List<Integer> owned);

    /** Returns the load of each owned slice. */
    List<SliceLoad> sliceLoads(ServiceName service, List<Integer> owned);
}
