/**
 * Configured routes from the requests of callers to services. An {@code InstanceRouter} matches requests by these
 * routes, a {@code RouterProcess} by the match rules of service documents.
 */
package org.siskindyke.kernel.route;
