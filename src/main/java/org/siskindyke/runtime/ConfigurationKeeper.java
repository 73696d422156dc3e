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
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TeamName;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.route.RoutingConfiguration;
import org.siskindyke.kernel.route.ServiceSettings;

/** Takes configurations into force. Confined to the control thread, but for the limits of callers. */
final class ConfigurationKeeper {
    private final Function<ConfigurationText, RoutingConfiguration> decoder;
    private final int slices;
    private final Consumer<RoutingConfiguration> inForce;
    private final EventLog log;
    private volatile CallerLimits limits = CallerLimits.DEFAULT;
    private ConfigurationText text = ConfigurationText.NONE;
    private RoutingConfiguration routing;

    /**
     * Creates a keeper that knows no configuration.
     *
     * @param decoder reads configurations; fails with {@code INVALID_DOCUMENT}
     * @param slices slices of a divided service
     * @param inForce takes each configuration that is in force from now on
     * @param log takes events
     */
    ConfigurationKeeper(
            Function<ConfigurationText, RoutingConfiguration> decoder,
            int slices,
            Consumer<RoutingConfiguration> inForce,
            EventLog log) {
        this.decoder = decoder;
        this.slices = slices;
        this.inForce = inForce;
        this.log = log;
    }

    /** Takes a configuration into force; one that cannot be read is logged and left out. */
    void apply(ConfigurationText learned) {
        RoutingConfiguration read;
        try {
            read = decoder.apply(learned);
        } catch (SiskindykeException e) {
            log.event("configuration-unreadable", "revision", learned.revision(), "cause", e.getMessage());
            return;
        }
        text = learned;
        routing = read;
        limits = read.limits();
        inForce.accept(read);
        log.event(
                "configuration-in-force",
                "version",
                read.version(),
                "routes",
                read.routes().size());
    }

    /** Returns the configuration in force as it was written. */
    ConfigurationText text() {
        return text;
    }

    /** Returns the limits of callers; for any thread. */
    CallerLimits limits() {
        return limits;
    }

    /** Returns the settings of a service, empty where the configuration in force does not name it. */
    Optional<ServiceSettings> settings(ServiceName service) {
        return Optional.ofNullable(routing).map(r -> r.services().get(service));
    }

    /** Returns a document for each divided service of a configuration, by which its slices are owned. */
    List<ServiceDocument> documents(RoutingConfiguration read) {
        return read.services().values().stream()
                .filter(ServiceSettings::divided)
                .map(settings -> document(settings.service()))
                .toList();
    }

    private ServiceDocument document(ServiceName service) {
        KeyRule keys = new KeyRule(true, KeyRule.KeySource.HEADER, service.value(), 0, slices);
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
