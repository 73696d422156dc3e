package org.siskindyke.command;

import java.io.PrintStream;

/** A command of the command line. {@link Main} finds the implementations with a {@link java.util.ServiceLoader}. */
public interface Command {
    /** Returns the name of the command: one or more words separated by spaces, such as {@code standin table}. */
    String name();

    /** Returns a one-line description for the help text. */
    String summary();

    /** Returns the flags and operands that the command accepts. */
    Flags flags();

    /**
     * Runs the command.
     *
     * @param settings the values of the flags and operands
     * @param out receives the results
     * @return the exit status of the process; 0 for success
     * @throws Exception if the command fails; a {@code SiskindykeException} is printed with its error code
     */
    int run(Flags.Values settings, PrintStream out) throws Exception;
}
