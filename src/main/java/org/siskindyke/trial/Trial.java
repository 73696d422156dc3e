package org.siskindyke.trial;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;

import io.servicetalk.http.api.HttpClient;
import org.siskindyke.kernel.document.BalanceRule;
import org.siskindyke.kernel.document.CallRule;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.MatchRule;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.document.TargetSpec;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.id.TeamName;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.load.LoadGenerator;
import org.siskindyke.plugin.table.TableProtocol;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.standin.BackendFaults;
import org.siskindyke.standin.TableFaults;
import org.siskindyke.standin.TableStandin;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** The processes of one trial, with methods by which scenarios inject faults. Not thread-safe. */
public final class Trial implements AutoCloseable {
    /** The service whose keys have owners. */
    public static final String DIVIDED = "haat";

    /** The service whose calls may run at any backend server. */
    public static final String UNDIVIDED = "bayna";

    private static final List<String> DOMAINS = List.of("kalna", "katwa", "memari", "guskara");
    private static final int INSTANCES = 8;
    private static final int SLICES = 64;
    private static final int SLOTS = 12;
    private static final int CONNECTIONS = 120;
    private static final long WORK_MILLIS = 4;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int RETRY_WINDOW_SECONDS = 60;
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final int FIRST_ERROR_STATUS = 400;

    private final String binary;
    private final File directory;
    private final Random random;
    private final TrialMode mode;
    private final TrialOptions options;
    private final List<TrialInstance> instances = new ArrayList<>();
    private ManagedProcess table;
    private int tablePort;
    private HttpClient tableClient;
    private LoadGenerator load;
    private long faultNanos;
    private String drainedTarget;
    private long drainedNanos;

    /**
     * Prepares a trial.
     *
     * @param binary the program's executable file
     * @param directory receives ledgers, logs and results
     * @param seed seed of the scenario's random choices
     * @param mode what is measured
     * @param options the scenario's options
     */
    public Trial(String binary, File directory, long seed, TrialMode mode, TrialOptions options) {
        this.binary = binary;
        this.directory = directory;
        this.random = new Random(seed);
        this.mode = mode;
        this.options = options;
    }

    private record Port(int port) {}

    /** Starts all processes, writes the service documents and waits until the slices are distributed evenly. */
    public void start() {
        table = new ManagedProcess(
                binary, List.of("standin", "table", "--port", "0"), new File(directory, "table.log"));
        tablePort = Json.read(table.start(), Port.class).port();
        tableClient = Http.client("127.0.0.1", tablePort, Http.Protocol.HTTP_1_1);
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(newInstance(i));
        }
        instances.parallelStream().forEach(TrialInstance::start);
        try (AdminClient admin = instances.get(0).admin()) {
            await("a router to join", () -> admin.instance().state().equals("ALIVE"));
            admin.put(document(DIVIDED, true), 0, "trial");
            admin.put(document(UNDIVIDED, false), 0, "trial");
        }
        awaitBalanced();
    }

    private TrialInstance newInstance(int index) {
        String domain = DOMAINS.get(index % DOMAINS.size());
        TrialInstance instance = new TrialInstance("i" + (index + 1), domain, binary, directory, tablePort, mode);
        instance.addBackend(new TrialInstance.BackendSpec(
                DIVIDED,
                target(DIVIDED, index),
                SLOTS,
                options.workMillis(index, WORK_MILLIS),
                options.checksGrants()));
        if (options.runsUndivided()) {
            instance.addBackend(new TrialInstance.BackendSpec(
                    UNDIVIDED,
                    target(UNDIVIDED, index),
                    SLOTS,
                    options.workMillis(index, WORK_MILLIS),
                    options.checksGrants()));
        }
        return instance;
    }

    private static String target(String service, int index) {
        return service + "-" + (index + 1);
    }

    private ServiceDocument document(String service, boolean divided) {
        List<TargetSpec> targets = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            targets.add(new TargetSpec(
                    TargetName.of(target(service, i)),
                    FailureDomain.of(DOMAINS.get(i % DOMAINS.size())),
                    SLOTS,
                    CONNECTIONS));
        }
        return new ServiceDocument(
                ServiceName.of(service),
                TeamName.of("trial"),
                new MatchRule(List.of(), "/" + service),
                divided
                        ? new KeyRule(true, KeyRule.KeySource.PATH_SEGMENT, null, 1, SLICES)
                        : new KeyRule(false, null, null, 0, 0),
                targets,
                new CallRule(TIMEOUT_MILLIS, null, null, null, null, null, RETRY_WINDOW_SECONDS),
                new BalanceRule(1, 0));
    }

    /** Waits until the slices are distributed evenly over the running routers; throws an exception after a minute. */
    public void awaitBalanced() {
        List<AdminClient> admins = instances.stream()
                .filter(TrialInstance::isUp)
                .map(TrialInstance::admin)
                .toList();
        try {
            await("slices to be owned evenly", () -> isBalanced(admins));
        } finally {
            admins.forEach(AdminClient::close);
        }
    }

    private static boolean isBalanced(List<AdminClient> admins) {
        List<Integer> counts = admins.stream()
                .map(a -> a.instance().slices().getOrDefault(DIVIDED, 0))
                .toList();
        return SliceCounts.areBalanced(counts, SLICES);
    }

    private static void await(String what, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (!isSatisfied(condition)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new SiskindykeException(ErrorCode.INTERNAL, "timed out waiting for " + what);
            }
            sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static boolean isSatisfied(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (SiskindykeException e) {
            return false;
        }
    }

    /** Sleeps for a time; an interrupt becomes an exception. */
    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SiskindykeException(ErrorCode.INTERNAL, "interrupted", e);
        }
    }

    /** Returns what is measured. */
    public TrialMode mode() {
        return mode;
    }

    /** Returns the scenario's source of random choices. */
    public Random random() {
        return random;
    }

    /** Returns the instances. */
    public List<TrialInstance> instances() {
        return instances;
    }

    /** Returns a random running instance. */
    public TrialInstance randomInstance() {
        List<TrialInstance> up = instances.stream().filter(TrialInstance::isUp).toList();
        return up.get(random.nextInt(up.size()));
    }

    /** Returns the instance whose router grants the lease of another; empty if it is not granted by a router. */
    public Optional<TrialInstance> grantorOf(TrialInstance instance) {
        try (AdminClient admin = instance.admin()) {
            String grantor = admin.instance().grantor();
            return instances.stream()
                    .filter(i -> grantor.startsWith(i.name() + ":"))
                    .findFirst();
        }
    }

    /** Returns the ports on which the routers accept callers. */
    public List<Integer> callerPorts() {
        return instances.stream().map(i -> i.address().callerPort()).toList();
    }

    /** Sets the running load, so that scenarios can change it. */
    void setLoad(LoadGenerator running) {
        load = running;
    }

    /** Rotates the popularity of the load's keys by a number of places, so that other keys become the hottest. */
    public void rotateHotKeys(int places) {
        load.keys().rotate(places);
    }

    /** Sends a request that crashes each backend server that runs it to a random router; ignores the answer. */
    public void sendMarkedRequest() {
        int port = callerPorts().get(random.nextInt(instances.size()));
        HttpClient client = Http.client("127.0.0.1", port, Http.Protocol.HTTP_1_1);
        client.request(client.get("/" + DIVIDED + "/marked?crash-mark=1"))
                .onErrorReturn(failure -> null)
                .whenFinally(() -> client.closeAsync().subscribe())
                .subscribe(response -> {});
    }

    /** Returns the number of instances with a backend server that has exited. */
    int crashedBackends() {
        return (int) instances.stream().filter(i -> !i.backendsAreUp()).count();
    }

    /** Records the time of the first fault; later calls have no effect. */
    public void markFault() {
        if (faultNanos == 0) {
            faultNanos = System.nanoTime();
        }
    }

    /** Returns the time of the first fault, in nanoseconds of the host's monotonic clock; 0 for none. */
    public long faultNanos() {
        return faultNanos;
    }

    /** Sets the faults of the table; {@link TableFaults#NONE} ends them. */
    public void setTableFaults(TableFaults faults) {
        send("/faults", Json.write(faults), tableClient);
    }

    /** Resets the statistics of the table. */
    public void resetTableStats() {
        send("/reset", "", tableClient);
    }

    /** Returns the statistics of the table. */
    public TableStandin.Stats tableStats() {
        return Json.read(get(tableClient, "/stats"), TableStandin.Stats.class);
    }

    /**
     * Returns the sum of the generations of all slices of the divided service. It increases by one with each change of
     * owner.
     */
    public long generationSum() {
        String path = TableProtocol.ROWS + "?prefix=holdings/" + DIVIDED + "/&limit=1000";
        TableProtocol.Rows rows = Json.read(get(tableClient, path), TableProtocol.Rows.class);
        long sum = 0;
        for (Row row : rows.rows()) {
            SliceOwnershipRow ownership = RowCodec.decode(row, SliceOwnershipRow.class);
            sum += ownership.slices().stream().mapToLong(OwnedSlice::generation).sum();
        }
        return sum;
    }

    /** Sets the faults of the backend servers of an instance. */
    public void setBackendFaults(TrialInstance instance, BackendFaults faults) {
        for (int port : instance.backendPorts()) {
            HttpClient client = Http.client("127.0.0.1", port, Http.Protocol.HTTP_1_1);
            send("/faults", Json.write(faults), client);
            client.closeAsync().subscribe();
        }
    }

    /** Starts the drain of the backend servers of an instance. */
    public void drainBackends(TrialInstance instance) {
        drainedTarget = target(DIVIDED, instances.indexOf(instance));
        drainedNanos = System.nanoTime();
        for (int port : instance.backendPorts()) {
            HttpClient client = Http.client("127.0.0.1", port, Http.Protocol.HTTP_1_1);
            send("/drain", "", client);
            client.closeAsync().subscribe();
        }
    }

    /** Returns the time from the start of the drain to the last execution that began after it; -1 without a drain. */
    long workAfterDrainMillis(LedgerChecker checker) {
        return drainedTarget == null ? -1 : Math.max(0, checker.lastWorkAfterMillis(drainedTarget, drainedNanos));
    }

    /** Drops messages from the router of one instance to those of others; an empty list ends this. */
    public void cutLinks(TrialInstance from, List<TrialInstance> to) {
        try (AdminClient admin = from.admin()) {
            admin.cutLinks(to.stream().map(i -> i.address().peerPort()).toList());
        }
    }

    private static void send(String path, String body, HttpClient client) {
        try {
            int status = client.request(client.put(path).payloadBody(DEFAULT_ALLOCATOR.fromUtf8(body)))
                    .toFuture()
                    .get()
                    .status()
                    .code();
            if (status >= FIRST_ERROR_STATUS) {
                throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "stand-in answered " + status + " to " + path);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new SiskindykeException(ErrorCode.PEER_UNAVAILABLE, "stand-in did not answer", e);
        }
    }

    private static String get(HttpClient client, String path) {
        try {
            return client.request(client.get(path))
                    .toFuture()
                    .get()
                    .payloadBody()
                    .toString(StandardCharsets.UTF_8);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SiskindykeException(ErrorCode.INTERNAL, "interrupted", e);
        } catch (ExecutionException e) {
            throw new SiskindykeException(ErrorCode.PEER_UNAVAILABLE, "stand-in did not answer", e);
        }
    }

    /** Returns the directory of the trial's files. */
    public File directory() {
        return directory;
    }

    /** Creates a directory for a trial's files and deletes ledgers, records and logs of earlier trials from it. */
    public static File prepareDirectory(File directory) {
        try {
            Files.createDirectories(directory.toPath());
            File[] old = directory.listFiles((d, name) -> name.endsWith(".jsonl") || name.endsWith(".log"));
            for (File file : old == null ? new File[0] : old) {
                Files.delete(file.toPath());
            }
            return directory;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        for (TrialInstance instance : instances) {
            instance.thawRouterIfRunning();
        }
        instances.forEach(TrialInstance::killAll);
        if (table != null) {
            table.kill();
        }
    }
}
