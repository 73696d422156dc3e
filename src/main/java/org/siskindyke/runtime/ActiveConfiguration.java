package org.siskindyke.runtime;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.document.BalanceRule;
import org.siskindyke.kernel.document.CallRule;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.MatchRule;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TeamName;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.route.RoutingConfiguration;
import org.siskindyke.kernel.route.ServiceSettings;

/** The routing configuration in force. Confined to the control thread, except where a method says otherwise. */
final class ActiveConfiguration {
    private final Function<ConfigurationText, RoutingConfiguration> decoder;
    private final int sliceCount;
    private final Consumer<RoutingConfiguration> onApplied;
    private final EventLog log;
    private volatile long version;
    private volatile CallerLimits limits = CallerLimits.DEFAULT;
    private ConfigurationText text = ConfigurationText.NONE;
    private RoutingConfiguration routing;

    /**
     * Creates an instance without a configuration.
     *
     * @param decoder decodes configurations; throws {@link SiskindykeException} with code {@code INVALID_DOCUMENT}
     * @param sliceCount number of slices of each divided service
     * @param onApplied called with each configuration once it is in force
     * @param log receives an event for each configuration, applied or rejected
     */
    ActiveConfiguration(
            Function<ConfigurationText, RoutingConfiguration> decoder,
            int sliceCount,
            Consumer<RoutingConfiguration> onApplied,
            EventLog log) {
        this.decoder = decoder;
        this.sliceCount = sliceCount;
        this.onApplied = onApplied;
        this.log = log;
    }

    /**
     * Puts a configuration into force. If it cannot be decoded, logs an event and keeps the previous one; entries that
     * were left out are logged.
     *
     * @param received the configuration
     * @param from the member that sent it; null where this router read it from the table or had it before
     * @return whether the configuration is in force
     */
    boolean apply(ConfigurationText received, MemberId from) {
        RoutingConfiguration decoded;
        try {
            decoded = decoder.apply(received);
        } catch (SiskindykeException e) {
            log.event("configuration-unreadable", "revision", received.revision(), "cause", e.getMessage());
            return false;
        }
        for (String entry : decoded.omitted()) {
            log.event("configuration-entry-omitted", "version", decoded.version(), "entry", entry);
        }
        text = received;
        routing = decoded;
        limits = decoded.limits();
        version = decoded.version();
        onApplied.accept(decoded);
        log.event(
                "configuration-in-force",
                "version",
                decoded.version(),
                "revision",
                received.revision(),
                "from",
                from,
                "routes",
                decoded.routes().size());
        return true;
    }

    /** Returns the encoded configuration in force; {@link ConfigurationText#NONE} before the first. */
    ConfigurationText text() {
        return text;
    }

    /** Returns the version in force; 0 before the first configuration. Safe for any thread. */
    long version() {
        return version;
    }

    /** Returns the limits on caller requests; the defaults before the first configuration. Safe for any thread. */
    CallerLimits limits() {
        return limits;
    }

    /** Returns the settings of a service; empty if the configuration in force does not name it. */
    Optional<ServiceSettings> settings(ServiceName service) {
        return Optional.ofNullable(routing).map(r -> r.services().get(service));
    }

    /** Returns a service document for each divided service; the ownership of its slices is based on it. */
    List<ServiceDocument> documents(RoutingConfiguration decoded) {
        return decoded.services().values().stream()
                .filter(ServiceSettings::divided)
                .map(settings -> document(settings.service()))
                .toList();
    }

    /**
     * Returns the document of a divided service. Besides the name, only the division, the number of slices and the
     * timeout are used; the timeout only for the settle time of slices whose dead owner announced no backend server of
     * the service. The other values are placeholders: {@code RouteTable} routes the calls, and {@code CallDialect}
     * defines where they contain their keys.
     */
    private ServiceDocument document(ServiceName service) {
        KeyRule keys = new KeyRule(true, KeyRule.KeySource.HEADER, service.value(), 0, sliceCount);
        CallRule calls = new CallRule(TimeUnit.SECONDS.toMillis(1), null, null, null, null, null, null);
        return new ServiceDocument(
                service,
                TeamName.of("operators"),
                new MatchRule(List.of(), null),
                keys,
                List.of(),
                calls,
                BalanceRule.EVEN);
    }
}
