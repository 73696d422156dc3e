package org.siskindyke.kernel.id;

/**
 * Identifies a slice: one of the sets into which a service's keys are divided. A slice has at most one owner.
 *
 * @param service the service
 * @param index zero-based position among the slices of the service
 */
public record SliceRef(ServiceName service, int index) {
    @Override
    public String toString() {
        return service + "/" + index;
    }
}
