/**
 * The control state machine of one member: its lease, its slices and its copy of the table. Starts no threads and
 * does no I/O.
 */
package org.siskindyke.kernel.control;
