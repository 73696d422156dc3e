import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Pipelining clients send a long and a short request to a router that is being stopped. */
public final class AnswerBehindAnother {
    private static final int CLIENTS = 4;
    private static final long GRACE_MILLIS = 6_000;
    /** When the requests are sent, after the SIGTERM. */
    private static final long LONG_AT_MILLIS = 1_500;

    private static final long SHORT_AT_MILLIS = 1_600;
    /** How long the target works; the route's timeout is 5,000 ms. */
    private static final long LONG_WORK_MILLIS = 4_800;

    private static final long SHORT_WORK_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long DEADLINE_MILLIS = 10_000;

    private static final Map<String, Long> ENDED = new ConcurrentHashMap<>();

    private static final class Pair {
        private final String longId = Lab.id();
        private final String shortId = Lab.id();
        private volatile String longAnswer = "none";
        private volatile String shortAnswer = "none";
        private volatile long shortSentMillis;
        private volatile long endMillis;
    }

    public static void main(String[] arguments) throws Exception {
        int exit;
        try (Lab lab = new Lab(Path.of(arguments[0], "record.txt"))) {
            exit = play(lab);
        }
        System.exit(exit);
    }

    private static int play(Lab lab) throws Exception {
        lab.configure("{\"version\":\"r7\",\"base_version\":\"r5\",\"services\":[{\"name\":\"parts-archive\","
                + "\"health_path\":\"/health\",\"max_connections\":60,\"protocol\":\"h1\",\"tls\":false},{\"name\":"
                + "\"tuning-desk\",\"health_path\":\"/health\",\"max_connections\":60,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"virtual_hosts\":[{\"hostname\":\"parts.example\",\"paths\":[{\"name\":"
                + "\"r-1\",\"prefix\":\"/blank/\",\"route_type\":\"safe\",\"timeout_ms\":" + TIMEOUT_MILLIS
                + ",\"aim_ms\":1500,\"priority\":2,\"service\":\"parts-archive\",\"max_attempts\":2}]}]}");
        Lab.Router stopping = lab.router("colombo-a", "tuning-desk");
        Lab.Router other = lab.router("colombo-b", "parts-archive");
        List<Lab.Target> targets = new ArrayList<>();
        for (Lab.Router router : List.of(stopping, other)) {
            router.start();
            targets.add(new Lab.Target(lab, router, 12, (request, socket) -> {
                Lab.sleep(Long.parseLong(request.path().substring("/blank/".length())));
                ENDED.put(request.header("X-Siskindyke-Request-Id"), Lab.millis());
                return "a blank".getBytes(StandardCharsets.UTF_8);
            }));
        }
        stopping.awaitReady(Lab.millis() + 20_000);
        other.awaitReady(Lab.millis() + 20_000);
        Lab.sleep(3_000);

        long stopMillis = Lab.millis() + 1_000;
        List<Pair> pairs = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Pair pair = new Pair();
            pairs.add(pair);
            threads.add(Lab.daemon(() -> call(lab, stopping, pair, stopMillis)));
        }
        Lab.sleepUntil(stopMillis);
        if (Lab.trouble()) {
            stopping.terminate(GRACE_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join(15_000);
        }
        int lost = 0;
        int served = 0;
        int ran = 0;
        for (Pair pair : pairs) {
            Long ended = ENDED.get(pair.shortId);
            boolean ranInTime = ended != null && ended < pair.shortSentMillis + 2_000;
            boolean beforeTimeout = pair.endMillis < pair.shortSentMillis + TIMEOUT_MILLIS;
            boolean isLost = ranInTime && pair.shortAnswer.equals("none") && beforeTimeout;
            ran += ranInTime ? 1 : 0;
            lost += isLost ? 1 : 0;
            served += pair.shortAnswer.contains(" 200 ") ? 1 : 0;
            lab.note("client of " + pair.longId + " and " + pair.shortId + ": the first got "
                    + pair.longAnswer + ", the second, whose target ended " + (ended == null ? "never" : "at " + ended / 1000.0)
                    + ", got " + pair.shortAnswer + "; connection ended " + (pair.endMillis - pair.shortSentMillis)
                    + " ms after the second was sent");
        }
        for (Lab.Target target : targets) {
            target.stop();
        }
        lab.note("requests that ran and got no answer: " + lost);
        System.out.println("requests that ran and got no answer: " + lost + " of " + CLIENTS + ", served " + served);
        if (ran < CLIENTS || !Lab.trouble() && served < CLIENTS) {
            lab.note("short requests that ran: " + ran);
            return 2;
        }
        return lost > 0 ? 1 : 0;
    }

    private static void call(Lab lab, Lab.Router router, Pair pair, long stopMillis) {
        try (Socket socket = new Socket(router.host, router.outbound)) {
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Lab.sleepUntil(stopMillis - 500);
            send(lab, socket, Lab.id(), 10);
            lab.note("before the stop: " + receive(in));
            Lab.sleepUntil(stopMillis + LONG_AT_MILLIS);
            send(lab, socket, pair.longId, LONG_WORK_MILLIS);
            Lab.sleepUntil(stopMillis + SHORT_AT_MILLIS);
            pair.shortSentMillis = Lab.millis();
            send(lab, socket, pair.shortId, SHORT_WORK_MILLIS);
            pair.longAnswer = receive(in);
            pair.shortAnswer = receive(in);
        } catch (IOException e) {
            lab.note("connection of " + pair.shortId + " ended: " + e);
        } finally {
            pair.endMillis = Lab.millis();
        }
    }

    private static void send(Lab lab, Socket socket, String id, long workMillis) throws IOException {
        lab.note("client sends " + id + ", work " + workMillis + " ms");
        socket.getOutputStream()
                .write(Lab.Client.request("GET", "parts.example", "/blank/" + workMillis, id, DEADLINE_MILLIS, new byte[0]));
    }

    private static String receive(InputStream in) throws IOException {
        String status = Lab.readLine(in);
        Lab.readBody(in, Lab.readHeaders(in));
        return status;
    }
}
