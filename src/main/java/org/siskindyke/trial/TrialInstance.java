package org.siskindyke.trial;

import java.io.File;
import java.util.ArrayList;
import java.util.List;

import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.runtime.http.Json;

/** One instance of a trial: a router and the backend servers beside it. */
public final class TrialInstance {
    private final String name;
    private final String domain;
    private final String binary;
    private final File directory;
    private final int tablePort;
    private final TrialMode mode;
    private final List<BackendSpec> specs = new ArrayList<>();
    private final List<ManagedProcess> backends = new ArrayList<>();
    private final List<Integer> backendPorts = new ArrayList<>();
    private ManagedProcess router;
    private MemberAddress address;

    TrialInstance(String name, String domain, String binary, File directory, int tablePort, TrialMode mode) {
        this.name = name;
        this.domain = domain;
        this.binary = binary;
        this.directory = directory;
        this.tablePort = tablePort;
        this.mode = mode;
    }

    /**
     * A backend server to run beside the router.
     *
     * @param service name of its service
     * @param target name of the backend server
     * @param slots number of calls that it runs at once
     * @param workMillis time that each call runs, in milliseconds
     * @param checksGrants whether it refuses and ends calls outside the grants of its router
     */
    public record BackendSpec(String service, String target, int slots, long workMillis, boolean checksGrants) {}

    private record Port(int port) {}

    /** Returns the instance's name. */
    public String name() {
        return name;
    }

    /** Returns the failure domain. */
    public String domain() {
        return domain;
    }

    /** Returns the address and ports of the router; null before its first start. */
    public MemberAddress address() {
        return address;
    }

    /** Returns the ports of the backend servers; empty before they start. */
    public List<Integer> backendPorts() {
        return backendPorts;
    }

    /** Returns a client of the router's administration API; the caller closes it. */
    public AdminClient admin() {
        return new AdminClient("127.0.0.1", address.adminPort());
    }

    void addBackend(BackendSpec spec) {
        specs.add(spec);
    }

    /** Starts the router and its backend servers. */
    public void start() {
        startRouter();
        startBackends();
    }

    /** Starts only the router, on the ports of its previous run if it has run before. */
    public void startRouter() {
        List<String> arguments = new ArrayList<>(List.of(
                "router",
                "--instance",
                name,
                "--failure-domain",
                domain,
                "--table",
                "127.0.0.1:" + tablePort,
                "--fault-injection",
                "--grantors",
                mode == TrialMode.TABLE_LEASES ? "table" : "peers",
                "--caller-port",
                port(address == null ? 0 : address.callerPort()),
                "--peer-port",
                port(address == null ? 0 : address.peerPort()),
                "--admin-port",
                port(address == null ? 0 : address.adminPort())));
        router = new ManagedProcess(binary, arguments, new File(directory, name + ".log"));
        address = Json.read(router.start(), MemberAddress.class);
    }

    /** Starts the backend servers. */
    public void startBackends() {
        backends.clear();
        backendPorts.clear();
        for (BackendSpec spec : specs) {
            List<String> arguments = new ArrayList<>(List.of(
                    "standin",
                    "backend",
                    "--service",
                    spec.service(),
                    "--target",
                    spec.target(),
                    "--admin",
                    "127.0.0.1:" + address.adminPort(),
                    "--slots",
                    Integer.toString(spec.slots()),
                    "--work-millis",
                    Long.toString(spec.workMillis()),
                    "--crash-on-mark",
                    "--ledger",
                    new File(directory, "ledger-" + spec.target() + ".jsonl").getPath()));
            if (!spec.checksGrants()) {
                arguments.add("--unchecked");
            }
            ManagedProcess backend = new ManagedProcess(binary, arguments, new File(directory, spec.target() + ".log"));
            backendPorts.add(Json.read(backend.start(), Port.class).port());
            backends.add(backend);
        }
    }

    private static String port(int number) {
        return Integer.toString(number);
    }

    /** Returns whether the router is running. */
    public boolean isUp() {
        return router != null && router.isAlive();
    }

    boolean backendsAreUp() {
        return backends.stream().allMatch(ManagedProcess::isAlive);
    }

    /** Kills only the router. */
    public void killRouter() {
        router.kill();
        router.awaitExit();
    }

    /** Kills the router and the backend servers. */
    public void kill() {
        router.kill();
        killBackends();
        router.awaitExit();
    }

    /** Kills only the backend servers. */
    public void killBackends() {
        backends.forEach(ManagedProcess::kill);
        backends.forEach(ManagedProcess::awaitExit);
    }

    /** Freezes the router. */
    public void freezeRouter() {
        router.freeze();
    }

    /** Thaws the router. */
    public void thawRouter() {
        router.thaw();
    }

    /** Freezes the backend servers. */
    public void freezeBackends() {
        backends.forEach(ManagedProcess::freeze);
    }

    /** Thaws the backend servers. */
    public void thawBackends() {
        backends.forEach(ManagedProcess::thaw);
    }

    /** Stops the router gracefully, then kills its backend servers; returns whether the router exited in time. */
    public boolean stopGracefully() {
        router.terminate();
        boolean ended = router.awaitExit();
        killBackends();
        return ended;
    }

    void thawRouterIfRunning() {
        if (isUp()) {
            router.thaw();
        }
    }

    void killAll() {
        if (router != null) {
            router.kill();
        }
        backends.forEach(ManagedProcess::kill);
    }
}
