/** The control state machine of one router, without I/O or threads. */
package org.siskindyke.kernel.control;
