package org.siskindyke.runtime.traffic;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.place.Distance;

/**
 * The choice of a target of an undivided service that has many.
 *
 * @param service the service
 * @param distance how far the chosen target is
 * @param isReported whether this router has had a report of the target's load
 * @param reportAgeMillis age of the latest report; 0 if there is none
 */
public record TargetChoice(ServiceName service, Distance distance, boolean isReported, long reportAgeMillis) {}
