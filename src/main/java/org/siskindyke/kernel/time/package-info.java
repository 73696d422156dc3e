/** Interfaces of the clocks that are passed to code that reads the time. */
package org.siskindyke.kernel.time;
