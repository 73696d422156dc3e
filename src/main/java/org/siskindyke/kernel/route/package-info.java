/** Configured routes from the requests of callers to services. */
package org.siskindyke.kernel.route;
