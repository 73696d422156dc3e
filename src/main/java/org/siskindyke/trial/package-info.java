/** Trials: scenarios of faults with real processes, checked against the ledgers of the backend servers. */
package org.siskindyke.trial;
