import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients read their responses slowly while planned work is done. */
public final class SlowReaders {
    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final int CLIENTS = 12;
    private static final int STEP_BYTES = 2_048;
    private static final long DEADLINE_MILLIS = 8_000;
    /** The idle time that a newer configuration sets. */
    private static final long SHORT_IDLE_MILLIS = 2_000;

    /** {@code config_apply_ms}. */
    private static final long APPLY_MILLIS = 2_000;

    private static final long GRACE_MILLIS = 6_000;
    /** Pace of a client until it reads on: 100 KB a second. */
    private static final int PIECE_BYTES = 10_000;

    private static final long PIECE_MILLIS = 100;
    /** How long the clients read slowly after the SIGTERM or the configuration. */
    private static final long SLOW_MILLIS = 3_200;

    private static final Set<String> RAN = ConcurrentHashMap.newKeySet();

    private static final class Reader {
        private final String id = Lab.id();
        private final Socket socket = new Socket();
        private final int expected;
        private int received;
        private boolean begun;
        private long sentMillis;
        private long endMillis;
        private String end = "complete";

        private Reader(int expected) {
            this.expected = expected;
        }
    }

    public static void main(String[] arguments) throws Exception {
        int exit;
        try (Lab lab = new Lab(Path.of(arguments[0], "record.txt"))) {
            exit = play(lab, arguments[1].equals("idle"));
        }
        System.exit(exit);
    }

    /**
     * Returns the length of the longest response that a router hands to the sockets of a client that reads nothing,
     * seen by whether it reads the client's next request.
     */
    private static int capacity(Lab lab, Lab.Router router) throws IOException {
        int low = 100_000;
        int high = 4_150_000;
        while (high - low > 2_048) {
            int middle = (low + high) / 2;
            if (readsOn(router, middle)) {
                low = middle;
            } else {
                high = middle;
            }
        }
        lab.note("a router reads on behind a response of " + low + " bytes that is not read, not behind " + high);
        return low;
    }

    private static boolean readsOn(Lab.Router router, int length) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(router.host, router.outbound));
            send(socket, Lab.id(), length);
            Lab.sleep(200);
            String next = Lab.id();
            send(socket, next, 10);
            Lab.sleep(200);
            return RAN.contains(next);
        }
    }

    private static void send(Socket socket, String id, int length) throws IOException {
        socket.getOutputStream()
                .write(Lab.Client.request(
                        "GET", "bhati.example", "/batch/" + length, id, DEADLINE_MILLIS, new byte[0]));
    }

    private static String configuration(String version, long idleMillis) {
        return "{\"version\":\"" + version + "\",\"base_version\":\"r5\",\"services\":[{\"name\":\"bhati\","
                + "\"health_path\":\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":" + idleMillis + "},\"virtual_hosts\":[{\"hostname\":\"bhati.example\","
                + "\"paths\":[{\"name\":\"r-1\",\"prefix\":\"/batch/\",\"route_type\":\"safe\",\"timeout_ms\":8000,"
                + "\"aim_ms\":1200,\"priority\":2,\"service\":\"bhati\",\"max_attempts\":2}]}]}";
    }

    private static int play(Lab lab, boolean idle) throws Exception {
        lab.configure(configuration("r7", 15_000));
        Lab.Router router = lab.router("kalna", "bhati");
        router.start();
        router.awaitReady(Lab.millis() + 20_000);
        Lab.Target target = new Lab.Target(lab, router, 12, (request, socket) -> {
            Lab.sleep(20);
            RAN.add(request.header("X-Siskindyke-Request-Id"));
            int length = Integer.parseInt(request.path().substring("/batch/".length()));
            byte[] body = new byte[length];
            Arrays.fill(body, (byte) 'x');
            return body;
        });
        warmUp(router);
        int capacity = capacity(lab, router);

        List<Reader> readers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long stopMillis = Lab.millis() + (idle ? SHORT_IDLE_MILLIS + 1_000 : 800);
        for (int i = 0; i < CLIENTS; i++) {
            Reader reader = new Reader(capacity + (i + 2) * STEP_BYTES);
            readers.add(reader);
            threads.add(Lab.daemon(() -> read(lab, router, reader, stopMillis + SLOW_MILLIS)));
            Lab.sleep(40);
        }
        Lab.sleepUntil(stopMillis);
        if (Lab.trouble() && idle) {
            lab.configure(configuration("r8", SHORT_IDLE_MILLIS));
        } else if (Lab.trouble()) {
            router.terminate(GRACE_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join(12_000);
        }
        int broken = 0;
        int begun = 0;
        for (Reader reader : readers) {
            long afterMillis = reader.endMillis - stopMillis;
            boolean whole = reader.received == reader.expected;
            boolean inTime = reader.endMillis < reader.sentMillis + (idle ? DEADLINE_MILLIS * 7 / 10 : DEADLINE_MILLIS);
            boolean byWork = afterMillis > 0 && afterMillis < (idle ? APPLY_MILLIS : GRACE_MILLIS) + 1_000;
            begun += reader.begun ? 1 : 0;
            broken += reader.begun && !whole && inTime && byWork ? 1 : 0;
            lab.note("client of " + reader.id + " received " + reader.received + " of " + reader.expected
                    + " bytes of the body, end at " + reader.endMillis / 1000.0 + ", " + afterMillis
                    + " ms after the planned work: " + reader.end);
        }
        target.stop();
        lab.note("responses that ended early: " + broken);
        System.out.println("responses that ended early: " + broken + " of " + CLIENTS);
        if (begun < CLIENTS) {
            lab.note("only " + begun + " clients got the head of a success");
            return 2;
        }
        boolean allWhole = readers.stream().allMatch(reader -> reader.received == reader.expected);
        if (broken == 0 && !allWhole) {
            lab.note("responses ended early for which the rule has an excuse");
            return Lab.trouble() ? 0 : 2;
        }
        return broken > 0 ? 1 : 0;
    }

    /** Sends requests until the first one is served. */
    private static void warmUp(Lab.Router router) throws IOException {
        for (long endMillis = Lab.millis() + 15_000; Lab.millis() < endMillis; Lab.sleep(100)) {
            try (Socket socket = new Socket(router.host, router.outbound)) {
                socket.getOutputStream()
                        .write(Lab.Client.request("GET", "bhati.example", "/batch/10", Lab.id(), 2_000, new byte[0]));
                if (Lab.readLine(new BufferedInputStream(socket.getInputStream())).contains(" 200 ")) {
                    return;
                }
            }
        }
        throw new IllegalStateException("no request is served");
    }

    private static void read(Lab lab, Lab.Router router, Reader reader, long slowUntilMillis) {
        try (Socket socket = reader.socket) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(router.host, router.outbound));
            socket.setSoTimeout(5_000);
            lab.note("client sends " + reader.id);
            reader.sentMillis = Lab.millis();
            send(socket, reader.id, reader.expected);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 512);
            String status = Lab.readLine(in);
            Map<String, String> headers = Lab.readHeaders(in);
            lab.note("client of " + reader.id + " gets " + status + ", Content-Length " + headers.get("content-length"));
            if (!status.contains(" 200 ")) {
                reader.end = status;
                return;
            }
            reader.begun = true;
            byte[] piece = new byte[65_536];
            while (reader.received < reader.expected) {
                boolean slow = Lab.millis() < slowUntilMillis;
                int wanted = Math.min(slow ? PIECE_BYTES : piece.length, reader.expected - reader.received);
                int count = in.readNBytes(piece, 0, wanted);
                reader.received += count;
                if (count < wanted) {
                    reader.end = "connection closed";
                    return;
                }
                if (slow) {
                    Lab.sleep(PIECE_MILLIS);
                }
            }
        } catch (IOException e) {
            reader.end = e.toString();
        } finally {
            reader.endMillis = Lab.millis();
        }
    }
}
