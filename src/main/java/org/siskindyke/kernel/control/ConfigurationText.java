package org.siskindyke.kernel.control;

/**
 * A configuration as the platform keeps it, passed between routers unread.
 *
 * @param revision the table version that wrote it; grows with each change
 * @param text the text, in the platform's form
 */
public record ConfigurationText(long revision, String text) {
    /** Stands for none. */
    public static final ConfigurationText NONE = new ConfigurationText(0, "");
}
