/** Calls on their way from callers to backend servers. */
package org.siskindyke.runtime.call;
