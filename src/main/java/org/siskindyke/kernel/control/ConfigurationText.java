package org.siskindyke.kernel.control;

/**
 * A configuration in the platform's format, which the kernel passes between routers without parsing it.
 *
 * @param revision the operator's own version number, which grows with each change, unlike the versions of a table that
 *     may be restored from a copy
 * @param text the text in the platform's format
 */
public record ConfigurationText(long revision, String text) {
    /** The absence of a configuration; any other is newer. */
    public static final ConfigurationText NONE = new ConfigurationText(-1, "");
}
