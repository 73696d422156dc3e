package org.siskindyke.platform;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses of the form {@code 10.1.0.8:8301}. */
final class Addresses {
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an IPv4 address and a port; returns empty where the text has another form, such as a host name. An address
     * with an octet above 255 is not rejected, but returned as an unresolved address.
     */
    static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port > MAX_PORT ? Optional.empty() : Optional.of(new InetSocketAddress(matcher.group(1), port));
    }
}
