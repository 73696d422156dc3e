/**
 * Configured routes from the requests of callers to services. A router matches requests either by these routes or by
 * the match rules of service documents.
 */
package org.siskindyke.kernel.route;
