/** Grants of slices to the backend server beside a router, renewed with its heartbeats. */
package org.siskindyke.kernel.grant;
