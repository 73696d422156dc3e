package org.siskindyke.trial;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes a scenario for the command line. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface ScenarioInfo {
    /** Returns the name by which the command line chooses the scenario. */
    String name();

    /** Returns a description of the faults, in one line. */
    String summary();

    /** Returns the longest time that the load runs, in milliseconds. */
    long durationMillis() default 14_000;
}
