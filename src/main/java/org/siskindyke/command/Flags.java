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
 * Declares the settings of a command, each of which can be given as a flag or as an environment variable, and parses
 * them. A flag takes precedence over its variable.
 *
 * <p>The variable of the flag {@code --caller-port} is {@code SISKINDYKE_CALLER_PORT}.
 */
public final class Flags {
    /** Prefix of the names of all environment variables. */
    public static final String PREFIX = "SISKINDYKE_";

    private final Map<String, Flag> flags = new LinkedHashMap<>();
    private String operands = "";

    private record Flag(String name, String description, String defaultValue, boolean isToggle) {
        private String variable() {
            return PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
        }
    }

    /** Declares a setting without a default, which must be given. */
    public Flags required(String name, String description) {
        flags.put(name, new Flag(name, description, null, false));
        return this;
    }

    /** Declares a setting with a default. */
    public Flags optional(String name, String defaultValue, String description) {
        flags.put(name, new Flag(name, description, defaultValue, false));
        return this;
    }

    /** Declares a setting that is on or off, and off by default. As a flag it takes no value. */
    public Flags toggle(String name, String description) {
        flags.put(name, new Flag(name, description, "false", true));
        return this;
    }

    /** Declares that the command accepts operands, and how the help text describes them. */
    public Flags operands(String description) {
        operands = description;
        return this;
    }

    /** Returns the names of the environment variables of all settings. */
    public List<String> variables() {
        return flags.values().stream().map(Flag::variable).toList();
    }

    /** Returns a description of the operands and settings, one per line. */
    public String help() {
        StringBuilder help = new StringBuilder();
        if (!operands.isEmpty()) {
            help.append("  ").append(operands).append(System.lineSeparator());
        }
        for (Flag flag : flags.values()) {
            String note = flag.isToggle()
                    ? ""
                    : flag.defaultValue() == null ? " (required)" : " [" + flag.defaultValue() + "]";
            help.append(String.format("  --%-24s %s%s%n", flag.name(), flag.description(), note));
        }
        return help.toString();
    }

    /**
     * Parses the settings.
     *
     * @param arguments the arguments after the name of the command
     * @param environment the environment variables
     * @throws SiskindykeException with code {@code INVALID_SETTING} if a flag is unknown, repeated or missing, or if
     *     there are operands but none are declared
     */
    public Values read(List<String> arguments, Map<String, String> environment) {
        OptionParser parser = new OptionParser();
        for (Flag flag : flags.values()) {
            if (flag.isToggle()) {
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
            throw invalid("unexpected operand '" + operandValues.get(0) + "'; this command takes only flags");
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
            return flag.isToggle() ? "true" : options.valueOf(flag.name()).toString();
        }
        String variable = environment.get(flag.variable());
        if (variable != null) {
            return variable;
        }
        if (flag.defaultValue() == null) {
            throw invalid("--" + flag.name() + " is missing; give it or set " + flag.variable());
        }
        return flag.defaultValue();
    }

    /**
     * Rejects environment variables with the prefix {@link #PREFIX} that no command declares.
     *
     * @param environment the environment variables
     * @param known the declared names
     * @throws SiskindykeException with code {@code INVALID_SETTING} if there is one
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

    /**
     * The values of a command's settings.
     *
     * <p>Methods that parse a value throw a {@link SiskindykeException} with code {@code INVALID_SETTING} if it is
     * invalid.
     */
    public static final class Values {
        private final Map<String, String> values;
        private final List<String> operands;

        private Values(Map<String, String> values, List<String> operandValues) {
            this.values = values;
            this.operands = operandValues;
        }

        /** Returns the operands, which are the arguments that are neither flags nor their values. */
        public List<String> operands() {
            return operands;
        }

        /** Returns the unparsed value of a setting. */
        public String text(String name) {
            return values.get(name);
        }

        /** Returns whether the value of a setting, given or by default, is not empty. */
        public boolean has(String name) {
            return !values.get(name).isEmpty();
        }

        /** Returns the value of a setting that is on or off. */
        public boolean isOn(String name) {
            String value = values.get(name);
            if (!value.equals("true") && !value.equals("false")) {
                throw invalid("--" + name + " is '" + value + "'; use true or false");
            }
            return value.equals("true");
        }

        /** Returns a value as a whole number from {@code low} to {@code high}, both inclusive. */
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

        /** Returns a value as a decimal number from {@code low} to {@code high}, both inclusive. */
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

        /** Returns a value that must be one of the allowed ones. */
        public String choice(String name, List<String> allowed) {
            String value = values.get(name);
            if (!allowed.contains(value)) {
                throw invalid("--" + name + " is '" + value + "'; use one of " + String.join(", ", allowed));
            }
            return value;
        }

        /** Returns a value as a TCP port; 0 means any free port. */
        public int port(String name) {
            return (int) number(name, 0, 65_535);
        }

        /** Returns a value as an address with a port other than 0, such as {@code 127.0.0.1:7000}. */
        public Endpoint endpoint(String name) {
            return Endpoint.parse(name, values.get(name));
        }

        /** Converts a value; if the converter fails, adds the name of the flag to the error message. */
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
     * @param host IP address
     * @param port TCP port, from 1 to 65535
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
