import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the project's store stand-in and routers as processes, small targets and
 * clients as threads of this process. The routers are started with the run line of the deploy file.
 */
final class Harness implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 870;
    private static final String JAR = "target/siskindyke-0.1.0-SNAPSHOT.jar";
    private final long zeroNanos = System.nanoTime();
    private final Path temp;
    private final BufferedWriter record;
    private final String net;
    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private final List<Target> targets = Collections.synchronizedList(new ArrayList<>());
    final int port;
    Store store;
    /** Runs of requests at targets, by request id. */
    final Map<String, ConcurrentLinkedQueue<Run>> runs = new ConcurrentHashMap<>();

    record Run(long millis, String target, int bodyBytes, String method, String path) {}

    /** Creates a deployment on free ports of a random loopback network. */
    Harness(File recordFile) throws IOException {
        this(recordFile, null, 0);
    }

    /** Creates a deployment on given addresses. */
    Harness(File recordFile, String givenNet, int givenPort) throws IOException {
        temp = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        record = new BufferedWriter(new OutputStreamWriter(
                Files.newOutputStream(recordFile.toPath()), StandardCharsets.UTF_8));
        ThreadLocalRandom random = ThreadLocalRandom.current();
        net = givenNet != null ? givenNet : "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
        if (givenNet != null) {
            port = givenPort;
        } else {
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host(1)))) {
                port = Math.min(probe.getLocalPort(), 60_000);
            }
        }
    }

    String host(int instance) {
        return net + instance;
    }

    long now() {
        return (System.nanoTime() - zeroNanos) / 1_000_000;
    }

    synchronized void log(String text) {
        try {
            record.write(String.format(Locale.ROOT, "%9.3f %s%n", now() / 1000.0, text));
            record.flush();
        } catch (IOException e) {
            // The record is closed at the end, while threads may still report.
        }
    }

    // Processes

    void startStore() throws IOException {
        store = new Store(host(200), port);
    }

    private String storeAddress() {
        return host(200) + ":" + port;
    }

    Process startRouter(int instance, String zone, String service) throws Exception {
        Process started = launchRouter(instance, zone, service, line -> {});
        awaitListening(host(instance), port + 3);
        return started;
    }

    /** Starts a router with the run line of the deploy file; each line that it writes is passed on. */
    Process launchRouter(int instance, String zone, String service, Consumer<String> lines) throws IOException {
        Path settings = temp.resolve("node" + instance + ".json");
        String host = host(instance);
        Files.writeString(
                settings,
                "{\"node_name\":\"sidecar-" + zone + "-" + instance + "\",\"role\":\"router\",\"zone\":\"" + zone
                        + "\",\"region\":\"r\",\"service\":\"" + service + "\",\"ip\":\"" + host
                        + "\",\"bootstrap\":true,\"port_range\":[7620,7635],\"seed_nodes\":[],\"listen\":{\"inbound\":\""
                        + host + ":" + (port + 1) + "\",\"outbound\":\"" + host + ":" + (port + 2) + "\",\"ready\":\""
                        + host + ":" + (port + 3) + "\",\"control\":\"" + host + ":" + (port + 4)
                        + "\"},\"app_addr\":\"" + host + ":" + (port + 5) + "\",\"platform\":{\"address\":\""
                        + storeAddress() + "\",\"form\":\"table\"},\"heartbeat_ms\":" + HEARTBEAT_MILLIS
                        + ",\"bounds\":" + BOUNDS + "}");
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command =
                Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        return start("router" + instance, Map.of("SISKINDYKE_NODE_FILE", settings.toString()), command, lines);
    }

    static final String BOUNDS = "{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_ms\":3000,\"ack_ms\":4000,"
            + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
            + "\"revert_slack_ms\":250,\"max_skew_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
            + "\"budget_extra\":60,\"recovery_s\":15,\"hold_max_ms\":10000,\"thaw_slack_ms\":300}";

    private Process start(
            String name, Map<String, String> environment, List<String> command, Consumer<String> onLine)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        Thread reader = new Thread(() -> {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    onLine.accept(line);
                    if (!line.contains("\"store-calls\"")) {
                        log(name + " says " + (line.length() > 400 ? line.substring(0, 400) : line));
                    }
                }
            } catch (IOException e) {
                // The process has ended.
            }
            log(name + " has ended");
        });
        reader.setDaemon(true);
        reader.start();
        log(name + " started, process " + process.pid());
        return process;
    }

    static void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    private void awaitListening(String host, int at) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket(InetAddress.getByName(host), at)) {
                return;
            } catch (IOException e) {
                Thread.sleep(30);
            }
        }
        throw new IOException("nothing listens at " + host + ":" + at);
    }

    /** Waits until a router's readiness answers 200. */
    void awaitReady(int instance) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            if (readiness(instance) == 200) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("router " + instance + " is not ready");
    }

    /** Returns the status of the readiness request, 0 where there is none within a second. */
    int readiness(int instance) {
        try (Client client = new Client(host(instance), port + 3)) {
            client.socket.setSoTimeout(1_000);
            client.send("GET", "/readiness", "ready.example", Map.of(), new byte[0]);
            return client.read().status;
        } catch (IOException e) {
            return 0;
        }
    }

    // Clients

    record Answer(int status, Map<String, String> headers, byte[] body) {}

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(String host, int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), 1_000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String method, String path, String host, Map<String, String> headers, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }

        Answer read() throws IOException {
            return Harness.readAnswer(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection closed");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static Answer readAnswer(InputStream in) throws IOException {
        String status = line(in);
        Map<String, String> headers = headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body);
    }

    // Targets

    private static final Pattern HOLD = Pattern.compile("\\[(\\d+),(\\d+),(\\d+),\"");
    private static final Pattern HOLD_MILLIS = Pattern.compile("\"hold_ms\":(\\d+)");

    /**
     * A target: runs requests for the number of milliseconds at the end of their path, in slots; where its service is
     * sharded, only those for keys that it holds.
     */
    final class Target {
        final String id;
        final String service;
        final int instance;
        private final Semaphore slots = new Semaphore(12);
        private final ServerSocket listening;
        private final long born = System.currentTimeMillis();
        private final boolean sharded;
        private final String zone;
        private long sequence;
        /** The rows [from, to, fence] that are held, until {@link #holdEndMillis}. */
        private volatile List<long[]> holds = List.of();

        private volatile long holdEndMillis;
        private List<long[]> freed = List.of();
        private String lateHeartbeat;
        volatile boolean stopped;
        volatile boolean acknowledged;

        Target(int instance, String zone, String service, boolean sharded) throws IOException {
            this.instance = instance;
            this.zone = zone;
            this.sharded = sharded;
            this.service = service;
            this.id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 32) + "-" + instance;
            this.listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(host(instance), port + 5), 500);
            daemon(this::accept);
            daemon(this::beat);
        }

        private void beat() {
            while (!stopped) {
                boolean again = false;
                try (Client client = new Client(host(instance), port + 4)) {
                    client.socket.setSoTimeout(1_000);
                    long sentMillis = now();
                    if (sentMillis >= holdEndMillis) {
                        holds = List.of();
                    }
                    List<long[]> reported = freed;
                    String body = heartbeat(reported);
                    client.send(
                            "POST",
                            "/instances/" + id + "/heartbeat",
                            "control",
                            Map.of("Content-Type", "application/json"),
                            body.getBytes(StandardCharsets.UTF_8));
                    Answer reply = client.read();
                    acknowledged |= reply.status == 200;
                    again = reply.status == 200 && sharded && apply(reply, sentMillis, reported);
                } catch (IOException e) {
                    log("target " + id + ": heartbeat " + sequence + " failed: " + e.getMessage());
                }
                sleep(again ? 100 : HEARTBEAT_MILLIS);
            }
        }

        private String heartbeat(List<long[]> reportedFreed) {
            return "{\"service\":\"" + service + "\",\"address\":\"" + host(instance) + ":" + (port + 5)
                            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\","
                            + "\"cold_left_ms\":0,\"seq_num\":" + ++sequence + ",\"born\":" + born
                            + ",\"holds\":" + rows(holds, false) + ",\"freed\":" + rows(reportedFreed, true) + "}";
        }

        private String rows(List<long[]> rows, boolean released) {
            StringBuilder text = new StringBuilder("[");
            for (long[] row : rows) {
                text.append(text.length() == 1 ? "[" : ",[").append(row[0]).append(',').append(row[1]).append(',');
                text.append(released ? "\"h" + row[2] + "\"" : Long.toString(row[2])).append(']');
            }
            return text.append(']').toString();
        }

        /** Takes what an acknowledgement grants; returns whether keys were released that have to be reported. */
        private boolean apply(Answer reply, long sentMillis, List<long[]> reported) {
            String text = new String(reply.body, StandardCharsets.UTF_8);
            Matcher millis = HOLD_MILLIS.matcher(text);
            if (!millis.find()) {
                return false;
            }
            List<long[]> granted = new ArrayList<>();
            for (Matcher row = HOLD.matcher(text); row.find(); ) {
                granted.add(new long[] {
                    Long.parseLong(row.group(1)), Long.parseLong(row.group(2)), Long.parseLong(row.group(3))
                });
            }
            List<long[]> released = new ArrayList<>(freed);
            released.removeAll(reported);
            boolean any = false;
            for (long[] held : holds) {
                if (granted.stream().noneMatch(g -> g[0] <= held[0] && held[1] <= g[1])) {
                    released.add(held);
                    any = true;
                }
            }
            freed = released;
            holds = granted;
            holdEndMillis = sentMillis + Long.parseLong(millis.group(1));
            return any;
        }

        private boolean isHeld(String key) {
            long number = key == null ? -1 : Long.parseLong(key);
            return now() < holdEndMillis && holds.stream().anyMatch(h -> h[0] <= number && number <= h[1]);
        }

        /**
         * Deregisters and goes on serving, without further heartbeats.
         *
         * @return when the deregistration was acknowledged; -1 where it was not
         */
        long deregister() throws IOException {
            stopped = true;
            sleep(HEARTBEAT_MILLIS + 100);
            lateHeartbeat = heartbeat(List.of());
            try (Client client = new Client(host(instance), port + 4)) {
                client.socket.setSoTimeout(1_000);
                client.send("POST", "/instances/" + id + "/deregister", "control", Map.of(), new byte[0]);
                int status = client.read().status;
                log("target " + id + " deregisters and gets " + status);
                return status / 100 == 2 ? now() : -1;
            }
        }

        /** Lets the heartbeat arrive that was sent just before the deregistration. */
        void deliverLateHeartbeat() throws IOException {
            try (Client client = new Client(host(instance), port + 4)) {
                client.socket.setSoTimeout(1_000);
                client.send(
                        "POST",
                        "/instances/" + id + "/heartbeat",
                        "control",
                        Map.of("Content-Type", "application/json"),
                        lateHeartbeat.getBytes(StandardCharsets.UTF_8));
                log("the heartbeat that target " + id + " sent before it deregistered arrives late and gets "
                        + client.read().status + ": " + lateHeartbeat);
            }
        }

        /** Ends the target. */
        void close() throws IOException {
            stopped = true;
            listening.close();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // The target has been closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String[] request = line(in).split(" ");
                    Map<String, String> headers = headers(in);
                    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    String requestId = headers.get("x-siskindyke-request-id");
                    boolean mayRun = !sharded || isHeld(headers.get("x-siskindyke-shard-key"));
                    if (!mayRun || !id.equals(headers.get("x-siskindyke-expected-instance"))) {
                        answer(out, "421 Misdirected Request", requestId, "X-Siskindyke-Not-Executed: 1\r\n", "");
                        continue;
                    }
                    if (!slots.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                        answer(out, "503 Service Unavailable", requestId, "X-Siskindyke-Not-Executed: 1\r\n", "");
                        continue;
                    }
                    try {
                        runs.computeIfAbsent(requestId, r -> new ConcurrentLinkedQueue<>())
                                .add(new Run(now(), id, body.length, request[0], request[1]));
                        log("target " + id + " runs " + requestId + " " + request[0] + " " + request[1] + " body "
                                + body.length);
                        String last = request[1].substring(request[1].lastIndexOf('/') + 1);
                        sleep(Integer.parseInt(last));
                        answer(
                                out,
                                "200 OK",
                                requestId,
                                "X-Siskindyke-Response-Signature: s." + requestId + "\r\n",
                                "answer to " + requestId);
                    } finally {
                        slots.release();
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            }
        }

        private void answer(OutputStream out, String status, String requestId, String more, String body)
                throws IOException {
            out.write(("HTTP/1.1 " + status + "\r\nX-Siskindyke-Request-Id: " + requestId + "\r\n" + more
                            + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    Target startTarget(int instance, String zone, String service, boolean sharded) throws IOException {
        Target target = new Target(instance, zone, service, sharded);
        targets.add(target);
        return target;
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(null, action, "worker", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    @Override
    public void close() throws IOException {
        if (store != null) {
            store.close();
        }
        targets.forEach(target -> target.stopped = true);
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.list(temp)) {
            files.forEach(file -> file.toFile().delete());
        }
        Files.deleteIfExists(temp);
        synchronized (this) {
            record.close();
        }
    }
}
