package org.siskindyke.command;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.membership.LeaseSettings;
import org.siskindyke.plugin.table.HttpTable;
import org.siskindyke.runtime.RouterProcess;
import org.siskindyke.runtime.RouterSettings;
import org.siskindyke.runtime.http.Json;

/** Runs a router beside a backend server. */
@AutoService(Command.class)
public final class RouterCommand implements Command {
    private static final LeaseSettings LEASE = LeaseSettings.DEFAULT;
    private static final long MAX_DURATION_MILLIS = 3_600_000;

    @Override
    public String name() {
        return "router";
    }

    @Override
    public String summary() {
        return "runs the router beside a backend server until SIGTERM, then hands over its slices and leaves";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .required("instance", "name of this instance")
                .required("failure-domain", "failure domain of this instance")
                .required("table", "address:port of the table service")
                .optional("host", "127.0.0.1", "IP address to listen on and at which other routers reach this one")
                .optional("caller-port", "8080", "TCP port for callers; 0 for any free port")
                .optional("peer-port", "8081", "TCP port for other routers; 0 for any free port")
                .optional("admin-port", "8082", "TCP port for operators and the backend server; 0 for any free port")
                .optional(
                        "target-policy",
                        RouterSettings.DEFAULT_TARGET_POLICY,
                        "policy that chooses targets of undivided services")
                .optional("grantors", "peers", "who renews leases: peers, or table for a very small cluster")
                .optional("slice-policy", RouterSettings.DEFAULT_SLICE_POLICY, "policy that proposes moves of slices")
                .optional("lease-millis", Long.toString(LEASE.leaseMillis()), "duration of leases")
                .optional(
                        "margin-millis",
                        Long.toString(LEASE.marginMillis()),
                        "time that grantors wait beyond the end of a lease, to cover clock drift")
                .optional("heartbeat-millis", Long.toString(LEASE.heartbeatMillis()), "interval between lease renewals")
                .optional(
                        "replace-after-millis",
                        Long.toString(LEASE.replaceAfterMillis()),
                        "time without an answer after which a grantor is replaced")
                .optional("leave-timeout-millis", "30000", "maximum duration of a graceful shutdown")
                .toggle("fault-injection", "allows the admin API to cut links to other routers, for trials");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) throws Exception {
        Flags.Endpoint table = settings.endpoint("table");
        RouterProcess router = new RouterProcess(routerSettings(settings), new HttpTable(table.host(), table.port()));
        long leaveTimeoutMillis = settings.number("leave-timeout-millis", 1, MAX_DURATION_MILLIS);
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(router, leaveTimeoutMillis, ended), "shutdown"));
        router.start();
        out.println(Json.write(router.address()));
        out.flush();
        ended.await();
        return 0;
    }

    private static void leave(RouterProcess router, long timeoutMillis, CountDownLatch ended) {
        try {
            router.leave().get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.getLogger(RouterCommand.class.getName())
                    .log(System.Logger.Level.WARNING, "event=leave-timeout millis=" + timeoutMillis);
        } catch (Exception e) {
            System.getLogger(RouterCommand.class.getName()).log(System.Logger.Level.ERROR, "event=leave-failed", e);
        }
        router.close();
        ended.countDown();
    }

    private static RouterSettings routerSettings(Flags.Values settings) {
        LeaseSettings lease = new LeaseSettings(
                settings.number("lease-millis", 1, MAX_DURATION_MILLIS),
                settings.number("margin-millis", 1, MAX_DURATION_MILLIS),
                settings.number("heartbeat-millis", 1, MAX_DURATION_MILLIS),
                settings.number("replace-after-millis", 1, MAX_DURATION_MILLIS));
        ControlSettings defaults = ControlSettings.DEFAULT;
        return new RouterSettings(
                settings.convert("instance", InstanceName::of),
                settings.convert("failure-domain", FailureDomain::of),
                settings.text("host"),
                settings.port("caller-port"),
                settings.port("peer-port"),
                settings.port("admin-port"),
                settings.text("target-policy"),
                settings.text("slice-policy"),
                new ControlSettings(
                        lease,
                        defaults.pollMillis(),
                        defaults.gossipMillis(),
                        defaults.planMillis(),
                        defaults.outageBoundMillis(),
                        settings.choice("grantors", List.of("peers", "table")).equals("peers")),
                settings.isOn("fault-injection"));
    }
}
