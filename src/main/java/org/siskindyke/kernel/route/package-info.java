/** The routes of callers' requests to services, as configured. */
package org.siskindyke.kernel.route;
