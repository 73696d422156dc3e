package org.siskindyke.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.Logging;

/** The entry point, which selects a command and runs it. */
public final class Main {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_USAGE = 2;

    private Main() {}

    /** Runs the command line and exits the process with its status. */
    public static void main(String[] arguments) {
        int status = run(Arrays.asList(arguments), System.getenv(), System.out, System.err);
        System.out.flush();
        System.exit(status);
    }

    /**
     * Runs the command line.
     *
     * @param arguments the name of the command, its flags and operands
     * @param environment the environment variables
     * @param out receives results and help texts
     * @param err receives errors, one per line
     * @return the exit status: that of the command if it completes, 2 for invalid settings or input and for no
     *     arguments, 1 for any other error
     */
    public static int run(List<String> arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        List<Command> commands = new ArrayList<>();
        ServiceLoader.load(Command.class).forEach(commands::add);
        commands.sort(Comparator.comparing(Command::name));
        if (arguments.isEmpty()
                || arguments.get(0).equals("--help")
                || arguments.get(0).equals("help")) {
            out.print(help(commands));
            return arguments.isEmpty() ? EXIT_BAD_USAGE : 0;
        }
        try {
            return runCommand(commands, arguments, environment, out);
        } catch (SiskindykeException e) {
            err.println(e.code() + ": " + e.getMessage());
            return isUsageError(e.code()) ? EXIT_BAD_USAGE : EXIT_FAILED;
        } catch (Exception e) {
            err.println(ErrorCode.INTERNAL + ": " + e);
            return EXIT_FAILED;
        }
    }

    private static int runCommand(
            List<Command> commands, List<String> arguments, Map<String, String> environment, PrintStream out)
            throws Exception {
        Command command = find(commands, arguments)
                .orElseThrow(() -> new SiskindykeException(
                        ErrorCode.INVALID_SETTING,
                        "unknown command '" + arguments.get(0) + "'; use one of "
                                + String.join(
                                        ", ",
                                        commands.stream().map(Command::name).toList())));
        int words = command.name().split(" ").length;
        List<String> rest = arguments.subList(words, arguments.size());
        if (rest.contains("--help")) {
            out.print("siskindyke " + command.name() + ": " + command.summary() + System.lineSeparator()
                    + command.flags().help());
            return 0;
        }
        Set<String> known = new HashSet<>(Logging.ENVIRONMENT_VARIABLES);
        commands.forEach(c -> known.addAll(c.flags().variables()));
        Flags.checkVariables(environment, known);
        Logging.configure(environment);
        return command.run(command.flags().read(rest, environment), out);
    }

    private static Optional<Command> find(List<Command> commands, List<String> arguments) {
        return commands.stream()
                .filter(c -> {
                    List<String> words = List.of(c.name().split(" "));
                    return arguments.size() >= words.size()
                            && arguments.subList(0, words.size()).equals(words);
                })
                .max(Comparator.comparingInt(c -> c.name().length()));
    }

    private static boolean isUsageError(ErrorCode code) {
        return switch (code) {
            case INVALID_SETTING, INVALID_DOCUMENT, INVALID_NAME, INVALID_REQUEST -> true;
            default -> false;
        };
    }

    private static String help(List<Command> commands) {
        StringBuilder help = new StringBuilder("usage: siskindyke COMMAND [flags]").append(System.lineSeparator());
        commands.forEach(c -> help.append(String.format("  %-18s %s%n", c.name(), c.summary())));
        help.append("Each flag can also be set as an environment variable, --caller-port as SISKINDYKE_CALLER_PORT. ")
                .append("SISKINDYKE_LOG_FORMAT (text, json) and SISKINDYKE_LOG_LEVEL configure the log on stderr.")
                .append(System.lineSeparator());
        return help.toString();
    }
}
