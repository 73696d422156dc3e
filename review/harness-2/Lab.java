import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: routers as separate processes, started with the run line of the deploy
 * file, and stand-ins of the platform's store and of targets in this process. All stand-ins follow the pages.
 */
final class Lab implements AutoCloseable {
    static final JsonMapper JSON = JsonMapper.builder().build();
    private static final long START = System.nanoTime();
    private static final Set<Process> PROCESSES = ConcurrentHashMap.newKeySet();

    final Path directory;
    final Store store;
    private final String network;
    private final PrintWriter record;
    private final List<Router> routers = new ArrayList<>();
    private int lastHost = 1;

    Lab(Path recordFile) throws IOException {
        directory = Files.createTempDirectory("review-");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        store = new Store(host(), this);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(Lab::end)));
    }

    /** Ends a process that this program has started. */
    private static void end(Process process) {
        process.destroyForcibly();
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long millis) {
        sleep(millis - millis());
    }

    /** Whether the case is played with its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%8.3f %s%n", millis() / 1000.0, text);
    }

    synchronized String host() {
        return network + ++lastHost;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    static String id() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws IOException;
    }

    /** Writes the first configuration, or a newer one. */
    void configure(String json) {
        store.put("op", "config", json);
    }

    Router router(String zone, String service) throws IOException {
        Router router = new Router(host(), zone, service);
        routers.add(router);
        return router;
    }

    @Override
    public void close() throws IOException {
        for (Router router : routers) {
            router.kill();
        }
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        record.close();
    }

    // ---------------------------------------------------------------- routers

    /** A machine: the router, and the addresses of the target beside it. */
    final class Router {
        final String host;
        final String zone;
        final String service;
        final int inbound;
        final int outbound;
        final int ready;
        final int control;
        final int application;
        /** Where the router listens for others while a proxy stands at {@link #inbound}; 0 for no proxy. */
        int bind;
        Process process;
        private int starts;

        private Router(String host, String zone, String service) throws IOException {
            this.host = host;
            this.zone = zone;
            this.service = service;
            inbound = freePort(host);
            outbound = freePort(host);
            ready = freePort(host);
            control = freePort(host);
            application = freePort(host);
        }

        private String settings() {
            ObjectNode root = JSON.createObjectNode();
            root.put("node_name", "sidecar-" + zone + "-" + host).put("role", "router").put("machine_class", "sidecar");
            root.putArray("serves").add("sidecar");
            root.put("ip", host).put("zone", zone).put("region", "bardhaman").put("loss_counted", false);
            root.put("bootstrap", true).put("app_addr", host + ":" + application).put("service", service);
            ObjectNode listen = root.putObject("listen");
            listen.put("inbound", host + ":" + inbound).put("outbound", host + ":" + outbound);
            listen.put("ready", host + ":" + ready).put("control", host + ":" + control);
            if (bind != 0) {
                listen.put("inbound_bind", host + ":" + bind);
            }
            ObjectNode zones = root.putObject("zones");
            for (String name : List.of("kalna", "katwa", "memari", "guskara")) {
                zones.put(name, "bardhaman");
            }
            root.put("discovery", "local").put("entry_mode", "local").put("heartbeat_ms", 870);
            root.putObject("platform").put("address", store.host + ":" + store.port).put("form", "table");
            ArrayNode contracts = root.putArray("contracts");
            List.of("base", "drain", "config", "cost", "retry", "recover", "own", "platform").forEach(contracts::add);
            ObjectNode bounds = root.putObject("bounds");
            bounds.put("stable_ms", 3000).put("drain_ms", 2000).put("grace_s", 6).put("loss_slack_ms", 200);
            bounds.put("config_apply_ms", 2000).put("max_skew_ms", 5000).put("retry_budget_ratio", 0.2);
            bounds.put("budget_window_s", 10).put("budget_extra", 60).put("hold_max_ms", 10000);
            return root.toString();
        }

        /** Starts the process with the run line of the deploy file, in the repository's root. */
        void start() throws IOException {
            Path file = directory.resolve(host + ".json");
            Files.writeString(file, settings());
            String deploy = Files.readString(Path.of("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no run line");
            }
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("SISKINDYKE_NODE_FILE", file.toString());
            builder.redirectErrorStream(true);
            String keep = System.getenv("REVIEW_LOGS");
            Path log = (keep == null ? directory : Path.of(keep)).resolve(host + "-" + ++starts + ".log");
            builder.redirectOutput(log.toFile());
            process = builder.start();
            PROCESSES.add(process);
        }

        void awaitReady(long untilMillis) {
            while (millis() < untilMillis) {
                try {
                    if (Client.get(host, ready, "/readiness") == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(50);
            }
            throw new IllegalStateException("router " + host + " is not ready");
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                waitFor(process);
            }
        }

        void signal(String name) throws IOException {
            waitFor(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start());
        }

        /** SIGTERM, and SIGKILL after the grace period, as the platform does. */
        void terminate(long graceMillis) {
            Process stopping = process;
            note("SIGTERM to router " + host);
            stopping.destroy();
            daemon(() -> {
                try {
                    if (!stopping.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
                        note("SIGKILL to router " + host);
                        stopping.destroyForcibly();
                    } else {
                        note("router " + host + " has ended");
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    static int waitFor(Process process) {
        try {
            return process.waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---------------------------------------------------------------- HTTP

    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(readLine(in), 16); ; size = Integer.parseInt(readLine(in), 16)) {
                body.write(in.readNBytes(size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("body of " + length + " bytes ended after " + body.length);
        }
        return body;
    }

    static Request readRequest(InputStream in) throws IOException {
        String[] line = readLine(in).split(" ");
        Map<String, String> headers = readHeaders(in);
        return new Request(line[0], line[1], headers, readBody(in, headers));
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    // ---------------------------------------------------------------- the store

    /** The platform's metadata store: rows, transactions and feeds. */
    static final class Store {
        final String host;
        final int port;
        volatile long delayMillis = 4;
        private final Lab lab;
        private final Map<String, TreeMap<String, StoredRow>> tables = new TreeMap<>();
        /** When the store answers the watches of a table that wait, by the other end's address. */
        private final Map<String, Map<String, Long>> watchEnds = new ConcurrentHashMap<>();
        /** Connections accepted before this one, by number, are silent. */
        private volatile int firstThatWorks;

        private volatile int accepted;
        private long version;

        private record StoredRow(String value, long version, boolean deleted) {}

        private Store(String host, Lab lab) throws IOException {
            this.host = host;
            this.lab = lab;
            ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName(host));
            port = server.getLocalPort();
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    int number = ++accepted;
                    daemon(() -> serve(socket, number));
                }
            });
        }

        private void serve(Socket socket, int number) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Request request = readRequest(in);
                    sleep(delayMillis);
                    byte[] answer = number < firstThatWorks ? null : answer(request, socket);
                    if (answer == null || number < firstThatWorks) {
                        in.transferTo(OutputStream.nullOutputStream());
                        return;
                    }
                    out.write(answer);
                    out.flush();
                }
            }
        }

        /** Lets the connections that are open now go silent for good; new ones work. */
        synchronized void silenceOpenConnections() {
            firstThatWorks = accepted + 1;
            lab.note("the open connections to the store go silent");
        }

        /** Returns for how long the watch of a table that ends first still waits; 0 if less than {@code count} wait. */
        long watchesWaitMillis(String table, int count) {
            Map<String, Long> ends = watchEnds.getOrDefault(table, Map.of());
            long first = ends.values().stream().mapToLong(end -> end).min().orElse(0);
            return ends.size() < count ? 0 : first - millis();
        }

        private static Map<String, String> query(String path) {
            Map<String, String> parameters = new LinkedHashMap<>();
            int mark = path.indexOf('?');
            for (String part : path.substring(mark + 1).split("&")) {
                int equals = part.indexOf('=');
                parameters.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
            return parameters;
        }

        private byte[] answer(Request request, Socket socket) throws IOException {
            if (request.path().startsWith("/rows-tx")) {
                return transact(JSON.readTree(request.body()));
            }
            Map<String, String> query = query(request.path());
            if (!request.path().startsWith("/rows-feed")) {
                return get(query);
            }
            Map<String, Long> ends = watchEnds.computeIfAbsent(query.get("table"), t -> new ConcurrentHashMap<>());
            String other = String.valueOf(socket.getRemoteSocketAddress());
            ends.put(other, millis() + Long.parseLong(query.get("wait_ms")));
            try {
                return feed(query);
            } finally {
                ends.remove(other);
            }
        }

        private static byte[] json(int status, ObjectNode body) {
            return response(
                    status,
                    Map.of("Content-Type", "application/json"),
                    body.toString().getBytes(StandardCharsets.UTF_8));
        }

        private ObjectNode newAnswer() {
            return JSON.createObjectNode().put("ver", version).put("now_ms", millis());
        }

        private static void addRow(ArrayNode rows, String table, String key, StoredRow row) {
            ObjectNode node = rows.addObject().put("table", table).put("part", "").put("key", key);
            node.put("ver", row.version());
            if (row.deleted()) {
                node.put("tombstone", true);
            } else {
                node.put("value", row.value());
            }
        }

        private synchronized byte[] transact(JsonNode call) {
            boolean holds = true;
            ObjectNode answer = JSON.createObjectNode();
            ArrayNode rows = answer.putArray("rows");
            for (JsonNode condition : call.path("precondition")) {
                String table = condition.path("table").asText();
                String key = condition.path("key").asText();
                StoredRow row = tables.getOrDefault(table, new TreeMap<>()).get(key);
                long present = row == null || row.deleted() ? 0 : row.version();
                holds &= present == condition.path("ver").asLong();
                if (present != 0) {
                    addRow(rows, table, key, row);
                }
            }
            if (!holds) {
                return json(412, answer.put("ver", version).put("now_ms", millis()));
            }
            if (!call.path("writes").isEmpty() || !call.path("remove").isEmpty()) {
                version++;
            }
            for (JsonNode write : call.path("writes")) {
                write(write, new StoredRow(write.path("value").asText(), version, false));
            }
            for (JsonNode removal : call.path("remove")) {
                write(removal, new StoredRow("", version, true));
            }
            notifyAll();
            return json(200, newAnswer());
        }

        private void write(JsonNode name, StoredRow row) {
            tables.computeIfAbsent(name.path("table").asText(), t -> new TreeMap<>())
                    .put(name.path("key").asText(), row);
        }

        synchronized void put(String table, String key, String text) {
            version++;
            String value = java.util.Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
            tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new StoredRow(value, version, false));
            notifyAll();
            lab.note("the store acknowledges " + table + "/" + key + " as version " + version);
        }

        private synchronized byte[] get(Map<String, String> query) {
            String table = query.get("table");
            int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
            ObjectNode answer = newAnswer();
            ArrayNode rows = answer.putArray("rows");
            boolean more = false;
            for (Map.Entry<String, StoredRow> row :
                    tables.getOrDefault(table, new TreeMap<>()).entrySet()) {
                boolean before = query.get("from") != null && row.getKey().compareTo(query.get("from")) < 0;
                boolean after = query.get("target") != null && row.getKey().compareTo(query.get("target")) >= 0;
                if (before || after || row.getValue().deleted()) {
                    continue;
                }
                if (rows.size() == limit) {
                    more = true;
                    break;
                }
                addRow(rows, table, row.getKey(), row.getValue());
            }
            return json(200, answer.put("has_more", more));
        }

        private synchronized byte[] feed(Map<String, String> query) {
            String table = query.get("table");
            long after = Long.parseLong(query.get("after"));
            long untilMillis = millis() + Math.min(30_000, Long.parseLong(query.get("wait_ms")));
            while (true) {
                ObjectNode answer = newAnswer();
                ArrayNode rows = answer.putArray("rows");
                tables.getOrDefault(table, new TreeMap<>()).entrySet().stream()
                        .filter(row -> row.getValue().version() > after)
                        .sorted(Comparator.comparingLong(row -> row.getValue().version()))
                        .forEach(row -> addRow(rows, table, row.getKey(), row.getValue()));
                long leftMillis = untilMillis - millis();
                if (!rows.isEmpty() || leftMillis <= 0) {
                    return json(200, answer);
                }
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    // ---------------------------------------------------------------- targets

    /** What a target does with a request that it runs. */
    interface Work {
        /** Returns the response's body, or null where it has answered on the stream itself or closed it. */
        byte[] run(Request request, Socket socket) throws IOException;
    }

    /** A target of an undivided service: registers by heartbeats and runs requests within its slots. */
    static final class Target {
        final String id = "i-" + id().substring(6);
        final Router machine;
        final long born = System.currentTimeMillis();
        private final Lab lab;
        private final Work work;
        private final Semaphore slots;
        private final int slotCount;
        private final ServerSocket server;
        private volatile boolean running = true;
        private int sequence;

        Target(Lab lab, Router machine, int slotCount, Work work) throws IOException {
            this.lab = lab;
            this.machine = machine;
            this.slotCount = slotCount;
            this.work = work;
            slots = new Semaphore(slotCount, true);
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(machine.host, machine.application), 512);
            daemon(() -> {
                while (running) {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                }
            });
            daemon(() -> {
                while (running) {
                    beat();
                    sleep(870);
                }
            });
        }

        void stop() throws IOException {
            running = false;
            server.close();
        }

        private void beat() {
            ObjectNode beat = JSON.createObjectNode();
            beat.put("service", machine.service).put("address", machine.host + ":" + machine.application);
            beat.put("zone", machine.zone).put("version", "v1").put("slots", slotCount).put("state", "ready");
            beat.put("cold_left_ms", 0).put("seq_num", ++sequence).put("born", born);
            try {
                Client.post(machine.host, machine.control, "/instances/" + id + "/heartbeat", beat.toString());
            } catch (IOException e) {
                // The router does not listen at present; the next beat follows.
            }
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Request request = readRequest(in);
                    byte[] answer = answer(request, socket);
                    if (answer == null) {
                        return;
                    }
                    out.write(answer);
                    out.flush();
                }
            }
        }

        private byte[] answer(Request request, Socket socket) throws IOException {
            if (request.path().equals("/health")) {
                return response(200, Map.of("X-Siskindyke-Instance-Id", id), new byte[0]);
            }
            String requestId = request.header("X-Siskindyke-Request-Id");
            String expected = request.header("X-Siskindyke-Expected-Instance");
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Siskindyke-Request-Id", requestId);
            if (expected != null && !expected.equals(id)) {
                headers.put("X-Siskindyke-Instance-Id", id);
                headers.put("X-Siskindyke-Not-Executed", "1");
                return response(421, headers, new byte[0]);
            }
            slots.acquireUninterruptibly();
            try {
                lab.note("target " + id + " runs " + requestId + " " + request.method() + " " + request.path());
                byte[] body = work.run(request, socket);
                if (body == null) {
                    return null;
                }
                headers.put("X-Siskindyke-Response-Signature", id + "." + body.length);
                headers.put("Keep-Alive", "timeout=10");
                lab.note("target " + id + " answers " + requestId + " with 200 and " + body.length + " bytes");
                return response(200, headers, body);
            } finally {
                slots.release();
            }
        }
    }

    // ---------------------------------------------------------------- clients

    static final class Client {
        private Client() {}

        static int get(String host, int port, String path) throws IOException {
            return call(host, port, "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n", "");
        }

        static int post(String host, int port, String path, String json) throws IOException {
            String head = "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n"
                    + "Connection: close\r\nContent-Length: " + json.length() + "\r\n\r\n";
            return call(host, port, head, json);
        }

        private static int call(String host, int port, String head, String body) throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, port), 1_000);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
                return Integer.parseInt(
                        readLine(new BufferedInputStream(socket.getInputStream())).split(" ")[1]);
            }
        }

        /** Returns a request as its client sends it. */
        static byte[] request(String method, String host, String path, String id, long timeoutMillis, byte[] body) {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
            head.append("X-Siskindyke-Request-Id: ").append(id).append("\r\n");
            head.append("X-Siskindyke-Timeout-Ms: ").append(timeoutMillis).append("\r\n");
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
            out.writeBytes(body);
            return out.toByteArray();
        }
    }
}
