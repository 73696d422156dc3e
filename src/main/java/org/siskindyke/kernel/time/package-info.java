/** Interfaces of clocks, which are passed in where time is read. */
package org.siskindyke.kernel.time;
