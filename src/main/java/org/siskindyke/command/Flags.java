package org.siskindyke.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/**
 * The settings of a command, as flags and as environment variables. A flag goes before its variable.
 *
 * <p>The flag {@code --caller-port} is the variable {@code SISKINDYKE_CALLER_PORT}.
 */
public final class Flags {
    /** First part of the names of environment variables. */
    public static final String PREFIX = "SISKINDYKE_";

    private final Map<String, Flag> flags = new LinkedHashMap<>();
    private String operands = "";

    private record Flag(String name, String description, String fallback, boolean isSwitch) {
        private String variable() {
            return PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
        }
    }

    /** Declares a setting that must be given. */
    public Flags required(String name, String description) {
        flags.put(name, new Flag(name, description, null, false));
        return this;
    }

    /** Declares a setting with a default. */
    public Flags optional(String name, String fallback, String description) {
        flags.put(name, new Flag(name, description, fallback, false));
        return this;
    }

    /** Declares a setting that is on or off; off unless given. */
    public Flags toggle(String name, String description) {
        flags.put(name, new Flag(name, description, "false", true));
        return this;
    }

    /** Declares words that follow the command. */
    public Flags operands(String description) {
        operands = description;
        return this;
    }

    /** Returns the names of the environment variables. */
    public List<String> variables() {
        return flags.values().stream().map(Flag::variable).toList();
    }

    /** Describes the settings, a line each. */
    public String help() {
        StringBuilder help = new StringBuilder();
        if (!operands.isEmpty()) {
            help.append("  ").append(operands).append(System.lineSeparator());
        }
        for (Flag flag : flags.values()) {
            String fallback =
                    flag.isSwitch() ? "" : flag.fallback() == null ? " (required)" : " [" + flag.fallback() + "]";
            help.append(String.format("  --%-24s %s%s%n", flag.name(), flag.description(), fallback));
        }
        return help.toString();
    }

    /**
     * Reads the settings.
     *
     * @param arguments the words after the command
     * @param environment the environment variables
     * @return the values
     * @throws SiskindykeException with code {@code INVALID_SETTING}
     */
    public Values read(List<String> arguments, Map<String, String> environment) {
        OptionParser parser = new OptionParser();
        for (Flag flag : flags.values()) {
            if (flag.isSwitch()) {
                parser.accepts(flag.name());
            } else {
                parser.accepts(flag.name()).withRequiredArg();
            }
        }
        OptionSet options;
        try {
            options = parser.parse(arguments.toArray(String[]::new));
        } catch (OptionException e) {
            throw invalid(e.getMessage() + "; use " + String.join(", ", flagNames()));
        }
        List<String> operandValues = new ArrayList<>();
        options.nonOptionArguments().forEach(w -> operandValues.add(w.toString()));
        if (operands.isEmpty() && !operandValues.isEmpty()) {
            throw invalid("unexpected word '" + operandValues.get(0) + "'; this command takes only flags");
        }
        Map<String, String> values = new LinkedHashMap<>();
        flags.values().forEach(flag -> values.put(flag.name(), valueOf(flag, options, environment)));
        return new Values(values, operandValues);
    }

    private List<String> flagNames() {
        return flags.keySet().stream().map(n -> "--" + n).toList();
    }

    private static String valueOf(Flag flag, OptionSet options, Map<String, String> environment) {
        if (options.has(flag.name())) {
            if (options.valuesOf(flag.name()).size() > 1) {
                throw invalid("--" + flag.name() + " is given more than once; give it once");
            }
            return flag.isSwitch() ? "true" : options.valueOf(flag.name()).toString();
        }
        String variable = environment.get(flag.variable());
        if (variable != null) {
            return variable;
        }
        if (flag.fallback() == null) {
            throw invalid("--" + flag.name() + " is missing; give it or set " + flag.variable());
        }
        return flag.fallback();
    }

    /**
     * Refuses environment variables with this project's prefix that no command knows.
     *
     * @param environment the environment variables
     * @param known the names that commands know
     */
    static void checkVariables(Map<String, String> environment, Set<String> known) {
        for (String name : environment.keySet()) {
            if (name.startsWith(PREFIX) && !known.contains(name)) {
                throw invalid("unknown environment variable " + name + "; unset it or correct its name");
            }
        }
    }

    private static SiskindykeException invalid(String message) {
        return new SiskindykeException(ErrorCode.INVALID_SETTING, message);
    }

    /** The values of a command's settings. */
    public static final class Values {
        private final Map<String, String> values;
        private final List<String> operands;

        private Values(Map<String, String> values, List<String> operandValues) {
            this.values = values;
            this.operands = operandValues;
        }

        /** Returns the words that follow the command. */
        public List<String> operands() {
            return operands;
        }

        /** Returns a value as text. */
        public String text(String name) {
            return values.get(name);
        }

        /** Tells whether a value was given or has a default that is not empty. */
        public boolean has(String name) {
            return !values.get(name).isEmpty();
        }

        /** Returns a value that is on or off. */
        public boolean isOn(String name) {
            String value = values.get(name);
            if (!value.equals("true") && !value.equals("false")) {
                throw invalid("--" + name + " is '" + value + "'; use true or false");
            }
            return value.equals("true");
        }

        /** Returns a value as a whole number in a range. */
        public long number(String name, long low, long high) {
            String value = values.get(name);
            try {
                long number = Long.parseLong(value);
                if (number >= low && number <= high) {
                    return number;
                }
            } catch (NumberFormatException e) {
                throw invalid("--" + name + " is '" + value + "'; give a whole number from " + low + " to " + high);
            }
            throw invalid("--" + name + " is " + value + "; give a whole number from " + low + " to " + high);
        }

        /** Returns a value as a decimal number in a range. */
        public double decimal(String name, double low, double high) {
            String value = values.get(name);
            try {
                double number = Double.parseDouble(value);
                if (number >= low && number <= high) {
                    return number;
                }
            } catch (NumberFormatException e) {
                throw invalid("--" + name + " is '" + value + "'; give a number from " + low + " to " + high);
            }
            throw invalid("--" + name + " is " + value + "; give a number from " + low + " to " + high);
        }

        /** Returns a value that is one of a few words. */
        public String choice(String name, List<String> allowed) {
            String value = values.get(name);
            if (!allowed.contains(value)) {
                throw invalid("--" + name + " is '" + value + "'; use one of " + String.join(", ", allowed));
            }
            return value;
        }

        /** Returns a TCP port, where 0 stands for any free one. */
        public int port(String name) {
            return (int) number(name, 0, 65_535);
        }

        /** Returns an address with a port, such as {@code 127.0.0.1:7000}. */
        public Endpoint endpoint(String name) {
            return Endpoint.parse(name, values.get(name));
        }

        /** Converts a value and names the flag where that fails. */
        public <T> T convert(String name, Function<String, T> converter) {
            try {
                return converter.apply(values.get(name));
            } catch (SiskindykeException e) {
                throw invalid("--" + name + ": " + e.getMessage());
            }
        }
    }

    /**
     * An address with a port.
     *
     * @param host an IP number
     * @param port TCP port
     */
    public record Endpoint(String host, int port) {
        private static Endpoint parse(String name, String text) {
            int colon = text.lastIndexOf(':');
            try {
                if (colon > 0) {
                    int port = Integer.parseInt(text.substring(colon + 1));
                    if (port > 0 && port < 65_536) {
                        return new Endpoint(text.substring(0, colon), port);
                    }
                }
            } catch (NumberFormatException e) {
                throw invalid("--" + name + " is '" + text + "'; give address:port, such as 127.0.0.1:7000");
            }
            throw invalid("--" + name + " is '" + text + "'; give address:port, such as 127.0.0.1:7000");
        }
    }
}
