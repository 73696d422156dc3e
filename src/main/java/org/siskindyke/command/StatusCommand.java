package org.siskindyke.command;

import java.io.PrintStream;

import com.google.auto.service.AutoService;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.runtime.admin.ClusterStatus;
import org.siskindyke.runtime.admin.InstanceStatus;
import org.siskindyke.runtime.http.Json;

/** Prints the state of the cluster as a table or as JSON. */
@AutoService(Command.class)
public final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "shows members, leases, owned and moving slices, revisions in force and refusals by cause";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .optional("admin", "127.0.0.1:8082", "address:admin-port of any router")
                .toggle("json", "prints JSON");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) {
        Flags.Endpoint admin = settings.endpoint("admin");
        try (AdminClient client = new AdminClient(admin.host(), admin.port())) {
            ClusterStatus status = client.status();
            out.print(settings.isOn("json") ? Json.write(status) + System.lineSeparator() : describe(status));
        }
        return 0;
    }

    private static String describe(ClusterStatus status) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "%-12s %-12s %-9s %-28s %10s %8s %-24s %s%n",
                "INSTANCE", "DOMAIN", "STATE", "GRANTOR", "LEASE(ms)", "CHARGES", "SLICES", "MOVING"));
        for (InstanceStatus instance : status.instances()) {
            text.append(String.format(
                    "%-12s %-12s %-9s %-28s %10d %8d %-24s %d%n",
                    instance.instance(),
                    instance.failureDomain(),
                    instance.state(),
                    instance.grantor(),
                    instance.leaseRemainingMillis(),
                    instance.charges(),
                    instance.slices(),
                    instance.slicesInMove()));
        }
        status.silent()
                .forEach(instance -> text.append(String.format(
                        "%-12s %-12s %-9s %-28s (no answer)%n",
                        instance.member(), instance.failureDomain(), instance.state(), instance.grantor())));
        status.documents().forEach((service, number) -> text.append(describeDocument(status, service, number)));
        status.unassigned()
                .forEach((service, slices) ->
                        text.append(String.format("service %s: %d slices without an owner%n", service, slices)));
        for (InstanceStatus instance : status.instances()) {
            if (!instance.refusals().isEmpty()) {
                text.append(String.format("%s refusals %s%n", instance.instance(), instance.refusals()));
            }
        }
        return text.toString();
    }

    private static String describeDocument(ClusterStatus status, String service, long number) {
        long inForce = status.instances().stream()
                .filter(i -> i.documents().getOrDefault(service, 0L) >= number)
                .count();
        return String.format(
                "service %s: revision %d in force on %d of %d instances%n",
                service,
                number,
                inForce,
                status.instances().size() + status.silent().size());
    }
}
