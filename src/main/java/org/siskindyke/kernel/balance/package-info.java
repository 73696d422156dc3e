/** Policies that choose targets and plan moves. */
package org.siskindyke.kernel.balance;
