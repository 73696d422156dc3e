/** Scenarios of trials, one class each; they are registered for {@link java.util.ServiceLoader}. */
package org.siskindyke.trial.scenario;
