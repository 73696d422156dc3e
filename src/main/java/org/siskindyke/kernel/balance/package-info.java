/** Policies that select the targets of calls and the slices to move between owners. */
package org.siskindyke.kernel.balance;
