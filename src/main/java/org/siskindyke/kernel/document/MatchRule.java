package org.siskindyke.kernel.document;

import java.util.List;

/**
 * Which calls are for a service: those to one of its hosts, or whose path starts with its prefix.
 *
 * @param hosts values of the Host header, without port
 * @param pathPrefix first part of the path, such as {@code /haat}; null for none
 */
public record MatchRule(List<String> hosts, String pathPrefix) {
    /** Copies the list. */
    public MatchRule {
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
    }

    /**
     * Tells whether a call is for the service.
     *
     * @param host the call's Host header without port; may be null
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
