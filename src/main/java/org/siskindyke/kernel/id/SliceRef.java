package org.siskindyke.kernel.id;

/**
 * Identifies a slice: a set of keys of a service that has one owner.
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
