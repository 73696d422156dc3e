package org.siskindyke.trial;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Declares a scenario. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface ScenarioInfo {
    /** Returns the name by which the command line chooses the scenario. */
    String name();

    /** Returns what happens in it, in one line. */
    String summary();

    /** Returns how long the load runs, in milliseconds. */
    long durationMillis() default 14_000;
}
