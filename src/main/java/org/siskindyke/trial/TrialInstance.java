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
     * @param service its service
     * @param target its name
     * @param slots its slots
     * @param workMillis how long its calls run
     * @param checksGrants whether it checks grants
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

    /** Returns where the router listens. */
    public MemberAddress address() {
        return address;
    }

    /** Returns the ports of the backend servers. */
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

    /** Starts the router, on the ports it had before if it ran before, and its backend servers. */
    public void start() {
        startRouter();
        startBackends();
    }

    /** Starts the router alone. */
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

    /** Returns whether the router runs. */
    public boolean isUp() {
        return router != null && router.isAlive();
    }

    boolean backendsAreUp() {
        return backends.stream().allMatch(ManagedProcess::isAlive);
    }

    /** Loses the router alone. */
    public void killRouter() {
        router.kill();
        router.awaitExit();
    }

    /** Loses the instance: router and backend servers. */
    public void kill() {
        router.kill();
        killBackends();
        router.awaitExit();
    }

    /** Loses the backend servers alone. */
    public void killBackends() {
        backends.forEach(ManagedProcess::kill);
        backends.forEach(ManagedProcess::awaitExit);
    }

    /** Freezes the router. */
    public void freezeRouter() {
        router.freeze();
    }

    /** Lets the router go on. */
    public void thawRouter() {
        router.thaw();
    }

    /** Freezes the backend servers. */
    public void freezeBackends() {
        backends.forEach(ManagedProcess::freeze);
    }

    /** Lets the backend servers go on. */
    public void thawBackends() {
        backends.forEach(ManagedProcess::thaw);
    }

    /** Stops the router gracefully, then its backend servers; returns whether the router ended in time. */
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
