import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.StoreStandin;

/**
 * A small deployment on loopback: routers as separate processes, started by the run line of the deploy file; the
 * project's own stand-in of the store; and stand-ins of targets and clients.
 */
class Lab implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 870;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final Path root;
    final Path work;
    final PrintStream record;
    final long startNanos = System.nanoTime();
    final StoreStandin store;
    final InetSocketAddress storeAddress;
    final List<Router> routers = new ArrayList<>();
    final List<Target> targets = new ArrayList<>();
    private final TrafficLoop traffic = new TrafficLoop();
    private final Random random = new Random();
    /** Held open while the lab runs, so that no other one uses the same addresses; routers listen on 9464, too. */
    private final ServerSocket claim;
    private final int net;

    Lab(Path root, Path work, PrintStream record) throws IOException {
        this.root = root;
        this.work = work;
        this.record = record;
        this.claim = claimNet();
        this.net = claim.getInetAddress().getAddress()[1] & 0xff;
        this.store = new StoreStandin(traffic, SystemMonotonicClock.INSTANCE);
        this.storeAddress = free("127." + net + ".0.2");
        InetSocketAddress behind = free("127." + net + ".0.3");
        store.listen(behind);
        ServerSocket front = new ServerSocket();
        front.bind(storeAddress, 200);
        thread(() -> serveStore(front, behind));
        Runtime.getRuntime().addShutdownHook(
                new Thread(() -> routers.forEach(router -> router.process.destroyForcibly())));
    }

    /** Passes calls on to the store's stand-in, and its answers without Store-Era, which no page names. */
    private static void serveStore(ServerSocket front, InetSocketAddress behind) {
        while (true) {
            try {
                Socket caller = front.accept();
                Socket server = new Socket();
                server.connect(behind, 1_000);
                caller.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                thread(() -> passOn(caller, server, false));
                thread(() -> passOn(server, caller, true));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void passOn(Socket from, Socket to, boolean answers) {
        try (from; to) {
            InputStream in = new java.io.BufferedInputStream(from.getInputStream());
            OutputStream out = to.getOutputStream();
            while (true) {
                StringBuilder head = new StringBuilder();
                int length = 0;
                for (String line = readLine(in); ; line = readLine(in)) {
                    if (line == null) {
                        return;
                    }
                    if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                    }
                    if (!answers || !line.startsWith("Store-Era:")) {
                        head.append(line).append("\r\n");
                    }
                    if (line.isEmpty()) {
                        break;
                    }
                }
                ByteArrayOutputStream message = new ByteArrayOutputStream();
                message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                message.write(in.readNBytes(length));
                out.write(message.toByteArray());
                out.flush();
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void log(String text) {
        record.printf("%7d %s%n", millis(), text);
        record.flush();
    }

    static InetSocketAddress free(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private ServerSocket claimNet() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            try {
                return new ServerSocket(9_464, 1, InetAddress.getByName("127." + (16 + random.nextInt(200)) + ".0.9"));
            } catch (IOException e) {
                // Another lab uses these addresses.
            }
        }
        throw new IOException("no free addresses");
    }

    /** Returns different free ports of a host; one drawn after another was closed might be the same. */
    static List<InetSocketAddress> free(String host, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName(host)));
                addresses.add((InetSocketAddress) sockets.get(i).getLocalSocketAddress());
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return addresses;
    }

    /** Records the last lines of the routers' logs, for a case that could not run. */
    void logRouters() {
        for (Router router : routers) {
            try {
                List<String> lines = Files.readAllLines(work.resolve(router.name + ".log"));
                lines.subList(Math.max(0, lines.size() - 5), lines.size()).forEach(line -> log(router.name + ": " + line));
            } catch (IOException e) {
                log(router.name + ": no log");
            }
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts a router beside a target of a service; its target stand-in is created apart. */
    Router router(String name, String zone, String service) throws IOException {
        Router router = new Router(name, zone, service, "127." + net + ".1." + (10 + routers.size()));
        routers.add(router);
        router.start();
        return router;
    }

    final class Router {
        final String name;
        final String zone;
        final String service;
        final InetSocketAddress outbound;
        final InetSocketAddress inbound;
        final InetSocketAddress ready;
        final InetSocketAddress control;
        final InetSocketAddress app;
        Process process;

        Router(String name, String zone, String service, String host) throws IOException {
            this.name = name;
            this.zone = zone;
            this.service = service;
            List<InetSocketAddress> free = free(host, 5);
            outbound = free.get(0);
            inbound = free.get(1);
            ready = free.get(2);
            control = free.get(3);
            app = free.get(4);
        }

        void start() throws IOException {
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            Matcher run = RUN.matcher(deploy);
            if (!run.find()) {
                throw new IOException("no run line in the deploy file");
            }
            Path settings = work.resolve(name + ".json");
            Files.writeString(settings, settings());
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
            builder.directory(root.toFile());
            builder.environment().put("SISKINDYKE_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(work.toFile(), name + ".log")));
            process = builder.start();
            log("router " + name + " started, process " + process.pid());
        }

        private String settings() {
            return "{\"node_name\":\"" + name + "\",\"role\":\"router\",\"machine_class\":\"sidecar\",\"serves\":[\"sidecar\"],"
                    + "\"ip\":\"" + outbound.getAddress().getHostAddress() + "\",\"zone\":\"" + zone
                    + "\",\"region\":\"bardhaman\",\"zones\":{\"kalna\":\"bardhaman\",\"katwa\":\"bardhaman\"},"
                    + "\"listen\":{\"inbound\":\"" + text(inbound) + "\",\"outbound\":\"" + text(outbound)
                    + "\",\"ready\":\"" + text(ready) + "\",\"control\":\"" + text(control) + "\"},"
                    + "\"port_range\":[7620,7635],\"seed_nodes\":[],\"bootstrap\":true,\"heartbeat_ms\":"
                    + HEARTBEAT_MILLIS
                    + ",\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\",\"platform\"],"
                    + "\"bounds\":{\"stable_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":6,"
                    + "\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"revert_slack_ms\":250,\"max_skew_ms\":5000,"
                    + "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_extra\":60,\"recovery_s\":15,"
                    + "\"hold_max_ms\":10000,\"thaw_slack_ms\":300},\"grants\":\"heartbeat\",\"app_addr\":\""
                    + text(app) + "\",\"service\":\"" + service + "\",\"platform\":{\"address\":\""
                    + text(storeAddress) + "\",\"form\":\"table\",\"writes_per_s\":400,\"reads_per_s\":2000,"
                    + "\"tx_ms\":3.0,\"row_bytes\":65536,\"across\":true,\"history_s\":20}}";
        }

        boolean isReady() {
            try {
                return call(ready, "GET", "/readiness", Map.of(), new byte[0], 1_000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** One request that a target has received. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        long connection;

        String id() {
            return headers.getOrDefault("x-siskindyke-request-id", "");
        }

        int key() {
            return Integer.parseInt(headers.getOrDefault("x-siskindyke-shard-key", "-1"));
        }
    }

    static final class Response {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
    }

    /** Answers requests at a target. */
    interface Answerer {
        /** Writes the answer to a request. */
        void answer(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    /** A range of keys that a target holds. */
    record Range(int first, int last, long token, long endMillis) {}

    /** A target beside a router: serves requests and sends heartbeats. */
    final class Target {
        final String id;
        final Router router;
        final boolean divided;
        final Answerer answerer;
        final long born = System.currentTimeMillis();
        final ServerSocket server;
        volatile String state = "ready";
        volatile boolean stopped;
        volatile List<Range> held = List.of();
        /** Keys of the requests at work, by id. */
        final Map<String, Integer> working = new ConcurrentHashMap<>();
        final Map<String, Long> workTokens = new ConcurrentHashMap<>();
        final List<String> freed = new CopyOnWriteArrayList<>();
        long sequence;
        volatile long lastSequence;
        /** Whether the last heartbeat was acknowledged. */
        volatile boolean acknowledged;

        Target(String id, Router router, boolean divided, Answerer answerer) throws IOException {
            this.id = id;
            this.router = router;
            this.divided = divided;
            this.answerer = answerer;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(router.app, 200);
            targets.add(this);
            thread(this::accept);
            thread(this::beat);
        }

        private void accept() {
            long number = 0;
            while (!stopped) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    long connection = ++number;
                    thread(() -> serve(socket, connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, long connection) {
            try (socket) {
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                    request.connection = connection;
                    if (!id.equals(request.headers.getOrDefault("x-siskindyke-expected-instance", id))
                            || divided && tokenOf(request.key()) < 0) {
                        log("target " + id + " refuses " + request.id() + " with 421");
                        write(out, 421, Map.of("X-Siskindyke-Not-Executed", "1", "X-Siskindyke-Instance-Id", id),
                                new byte[0]);
                        continue;
                    }
                    if (divided) {
                        workTokens.put(request.id(), tokenOf(request.key()));
                        working.put(request.id(), request.key());
                    }
                    log("target " + id + " runs " + request.id() + " " + request.method + " " + request.path
                            + (divided ? " key " + request.key() : "") + " on connection " + connection);
                    answerer.answer(request, out);
                    working.remove(request.id());
                }
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            }
        }

        long tokenOf(int key) {
            for (Range range : held) {
                if (range.first <= key && key <= range.last && millis() < range.endMillis) {
                    return range.token;
                }
            }
            return -1;
        }

        private void beat() {
            while (!stopped) {
                boolean again = sendBeat();
                pause(again ? 100 : HEARTBEAT_MILLIS);
            }
        }

        /** Returns the body of a heartbeat with the lists of keys, as the pages ask for it. */
        String beatBody(long number, String lists) {
            return "{\"service\":\"" + router.service + "\",\"address\":\"" + text(router.app) + "\",\"zone\":\""
                    + router.zone + "\",\"version\":\"v1\",\"slots\":12,\"state\":\"" + state
                    + "\",\"cold_left_ms\":0,\"seq_num\":" + number + ",\"born\":" + born + lists + "}";
        }

        /** Sends a heartbeat; returns whether keys that were taken away are still at work. */
        private boolean sendBeat() {
            long sentMillis = millis();
            long number;
            synchronized (this) {
                number = ++sequence;
                lastSequence = number;
            }
            List<String> rows = new ArrayList<>();
            List<Range> before = held;
            before.stream().filter(r -> sentMillis < r.endMillis)
                    .forEach(r -> rows.add("[" + r.first + "," + r.last + "," + r.token + "]"));
            boolean keepsWork = false;
            for (Map.Entry<String, Integer> work : working.entrySet()) {
                if (tokenOf(work.getValue()) < 0) {
                    keepsWork = true;
                    rows.add("[" + work.getValue() + "," + work.getValue() + "," + workTokens.get(work.getKey()) + "]");
                }
            }
            String lists = divided
                    ? ",\"holds\":[" + String.join(",", rows) + "],\"freed\":[" + String.join(",", freed) + "]"
                    : "";
            Response response;
            try {
                response = call(router.control, "POST", "/instances/" + id + "/heartbeat",
                        Map.of("Content-Type", "application/json"),
                        beatBody(number, lists).getBytes(StandardCharsets.UTF_8), 1_000);
            } catch (IOException e) {
                return false;
            }
            if (response.body.length > 4_096) {
                log("target " + id + " ignores an answer to its heartbeat: " + response.body.length + " bytes");
                return false;
            }
            acknowledged = response.status / 100 == 2;
            if (!acknowledged || !divided) {
                return false;
            }
            freed.clear();
            applyGrant(new String(response.body, StandardCharsets.UTF_8), sentMillis, before);
            boolean released = before.stream().anyMatch(old -> tokenOf(old.first) < 0);
            return keepsWork || released;
        }

        private void applyGrant(String body, long sentMillis, List<Range> before) {
            int list = body.indexOf("\"holds\":[");
            Matcher millisOfHold = Pattern.compile("\"hold_ms\":(\\d+)").matcher(body);
            if (list < 0 || !millisOfHold.find()) {
                return;
            }
            long end = sentMillis + Long.parseLong(millisOfHold.group(1));
            List<Range> granted = new ArrayList<>();
            Matcher row = Pattern.compile("\\[(\\d+),(\\d+),(\\d+),\"").matcher(body);
            while (row.find()) {
                granted.add(new Range(Integer.parseInt(row.group(1)), Integer.parseInt(row.group(2)),
                        Long.parseLong(row.group(3)), end));
            }
            for (Range old : before) {
                if (granted.stream().noneMatch(g -> g.first <= old.first && old.first <= g.last)) {
                    freed.add("[" + old.first + "," + old.last + ",\"" + handover() + "\"]");
                }
            }
            if (!ranges(granted).equals(ranges(held))) {
                log("target " + id + " holds " + brief(granted) + " until " + end);
            }
            held = granted;
            onGrant(this, granted);
        }

        private String handover() {
            StringBuilder text = new StringBuilder();
            while (text.length() < 16) {
                text.append(Integer.toHexString(random.nextInt(16)));
            }
            return text.toString();
        }

        /** Ends the target, which has left or is lost. */
        void stop() {
            stopped = true;
            try {
                server.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    /** Called when a target has taken a grant. */
    void onGrant(Target target, List<Range> granted) {}

    static String ranges(List<Range> list) {
        StringBuilder text = new StringBuilder();
        list.forEach(r -> text.append("[" + r.first + "-" + r.last + " #" + r.token + "]"));
        return text.toString();
    }

    private static String brief(List<Range> list) {
        return list.size() + " ranges" + (list.isEmpty() ? "" : ", first " + ranges(list.subList(0, 1)));
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); ; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replaceFirst("\r$", "");
            }
            line.write(b);
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Request request = new Request();
        request.method = words[0];
        request.path = words[1];
        readHeaders(in, request.headers);
        request.body = in.readNBytes(Integer.parseInt(request.headers.getOrDefault("content-length", "0")));
        return request;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static Response readResponse(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new IOException("connection ended without an answer");
        }
        Response response = new Response();
        response.status = Integer.parseInt(line.split(" ")[1]);
        readHeaders(in, response.headers);
        int length = Integer.parseInt(response.headers.getOrDefault("content-length", "0"));
        response.body = in.readNBytes(length);
        if (response.body.length < length) {
            throw new IOException("answer broke off");
        }
        return response;
    }

    static byte[] head(int status, Map<String, String> headers, int length) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        return (head + "Content-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        out.write(head(status, headers, body.length));
        out.write(body);
        out.flush();
    }

    /** Header fields of a target's answer to a request. */
    static Map<String, String> answerHeaders(Request request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Siskindyke-Request-Id", request.id());
        headers.put("X-Siskindyke-Response-Signature", "sig." + request.id());
        return headers;
    }

    static byte[] requestBytes(String method, String path, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        Map<String, String> all = new LinkedHashMap<>(Map.of("Host", "shop.example"));
        all.putAll(headers);
        all.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, whole, bytes.length, body.length);
        return whole;
    }

    /** Sends a request on a new connection and reads the answer. */
    static Response call(
            InetSocketAddress address, String method, String path, Map<String, String> headers, byte[] body,
            int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.connect(address, 1_000);
            socket.getOutputStream().write(requestBytes(method, path, headers, body));
            return readResponse(socket.getInputStream());
        }
    }

    static Map<String, String> requestHeaders(String id, int timeoutMillis, int key) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Siskindyke-Request-Id", id);
        headers.put("X-Siskindyke-Timeout-Ms", Integer.toString(timeoutMillis));
        if (key >= 0) {
            headers.put("X-Siskindyke-Shard-Key", Integer.toString(key));
        }
        return headers;
    }

    /** Writes a configuration with one service, a safe route /safe/ and an unsafe one /order/. */
    void configure(int version, String service, boolean sharded, int timeoutMillis) {
        configure(version, service, sharded, timeoutMillis, 16_384);
    }

    void configure(int version, String service, boolean sharded, int timeoutMillis, int maxHeaderBytes) {
        String route = "\"timeout_ms\":" + timeoutMillis + ",\"aim_ms\":400,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2}";
        store.put("op", "config", "{\"version\":\"r" + version + "\",\"services\":[{\"name\":\"" + service
                + "\",\"health_path\":\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false"
                + (sharded ? ",\"sharded\":true,\"warm_s\":2.0,\"grants\":\"heartbeat\"" : "")
                + "}],\"limits\":{\"max_header_bytes\":" + maxHeaderBytes + ",\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"virtual_hosts\":[{\"hostname\":\"shop.example\",\"paths\":["
                + "{\"name\":\"safe\",\"prefix\":\"/safe/\",\"route_type\":\"safe\"," + route
                + ",{\"name\":\"order\",\"prefix\":\"/order/\",\"route_type\":\"unsafe\"," + route + "]}]}");
    }

    /** Waits until a condition holds; returns whether it came to hold. */
    static boolean await(long timeoutMillis, java.util.function.BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            pause(50);
        }
        return false;
    }

    @Override
    public void close() {
        targets.forEach(Target::stop);
        routers.forEach(router -> router.process.destroyForcibly());
        for (Router router : routers) {
            try {
                router.process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            claim.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
