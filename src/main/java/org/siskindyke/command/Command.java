package org.siskindyke.command;

import java.io.PrintStream;

/** One command of the command line. Implementations are found by service loading. */
public interface Command {
    /** Returns the words that choose the command, such as {@code standin table}. */
    String name();

    /** Returns what the command does, in one line. */
    String summary();

    /** Returns the settings that the command takes. */
    Flags flags();

    /**
     * Runs the command.
     *
     * @param settings the settings as given
     * @param out for results
     * @return the process's exit status; 0 for success
     * @throws Exception what went wrong; a {@code SiskindykeException} is shown with its code
     */
    int run(Flags.Values settings, PrintStream out) throws Exception;
}
