/** Scenarios: one small class for each fault. */
package org.siskindyke.trial.scenario;
