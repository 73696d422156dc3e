package org.siskindyke.platform;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.net.InetAddresses;
import org.siskindyke.kernel.input.NumberField;

/** Parses addresses of the form {@code 10.1.0.8:8301}. */
final class Addresses {
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
    private static final NumberField PORT = NumberField.ofMessage("port", 1, 65_535);

    private Addresses() {}

    /**
     * Parses an IPv4 address and a port; returns empty where the text has another form, such as a host name, or a part
     * of it is out of range.
     */
    static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        OptionalLong port = PORT.tryParse(matcher.group(2));
        boolean isAddress = InetAddresses.isInetAddress(matcher.group(1)) && port.isPresent();
        return isAddress
                ? Optional.of(new InetSocketAddress(matcher.group(1), Math.toIntExact(port.getAsLong())))
                : Optional.empty();
    }
}
