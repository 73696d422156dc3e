package org.siskindyke.kernel.document;

import java.util.List;

/**
 * Selects the calls of a service: those to one of its hosts, or whose path starts with its prefix.
 *
 * @param hosts values of the Host header, without the port
 * @param pathPrefix leading segments of the path, such as {@code /haat}; null for none
 */
public record MatchRule(List<String> hosts, String pathPrefix) {
    /** Copies the list. */
    public MatchRule {
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
    }

    /**
     * Returns whether a call is for the service.
     *
     * @param host value of the Host header without the port; may be null
     * @param path the call's path
     */
    public boolean accepts(String host, String path) {
        if (host != null && hosts.contains(host)) {
            return true;
        }
        return pathPrefix != null
                && path.startsWith(pathPrefix)
                && (path.length() == pathPrefix.length() || path.charAt(pathPrefix.length()) == '/');
    }
}
