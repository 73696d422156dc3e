package org.siskindyke.runtime;

import java.util.ServiceLoader;
import java.util.TreeSet;
import java.util.function.Function;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** Finds implementations registered with {@link ServiceLoader} by name. */
public final class Plugins {
    private Plugins() {}

    /**
     * Returns the implementation with the given name.
     *
     * @param type the interface
     * @param name name of the implementation
     * @param nameOf returns the name of an implementation
     * @param <T> the interface
     * @return the implementation
     * @throws SiskindykeException with code {@code INVALID_SETTING} if no implementation has this name
     */
    public static <T> T named(Class<T> type, String name, Function<T, String> nameOf) {
        TreeSet<String> known = new TreeSet<>();
        for (T candidate : ServiceLoader.load(type)) {
            if (nameOf.apply(candidate).equals(name)) {
                return candidate;
            }
            known.add(nameOf.apply(candidate));
        }
        throw new SiskindykeException(
                ErrorCode.INVALID_SETTING, "unknown policy '" + name + "'; use one of " + String.join(", ", known));
    }
}
