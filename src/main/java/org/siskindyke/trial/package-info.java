/** Trials: real processes under faults, judged by their ledgers. */
package org.siskindyke.trial;
