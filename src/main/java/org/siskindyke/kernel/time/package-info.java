/** Clocks that are passed in. */
package org.siskindyke.kernel.time;
