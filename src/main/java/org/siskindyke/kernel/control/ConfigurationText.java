package org.siskindyke.kernel.control;

/**
 * A configuration in the platform's format, which the kernel passes between routers without parsing it.
 *
 * @param revision the table version at which it was written; grows with each change
 * @param text the text in the platform's format
 */
public record ConfigurationText(long revision, String text) {
    /** The absence of a configuration; any other is newer. */
    public static final ConfigurationText NONE = new ConfigurationText(0, "");
}
