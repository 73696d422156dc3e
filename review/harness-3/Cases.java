import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** The cases that are shown by scripts: {@code Cases NAME ROOT RECORD}; TROUBLE=0 leaves the disruption out. */
public final class Cases {
    private static final int BROKEN = 1;
    private static final int HELD = 0;
    private static final int NOT_RUN = 2;
    private static final int FIRST_EXIT_CODE = 10;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Cases() {}

    /** Exits with 10 and more, so that run-case can tell a result from a JVM that has failed. */
    public static void main(String[] arguments) {
        int result = NOT_RUN;
        try {
            result = run(arguments[0], Path.of(arguments[1]).toAbsolutePath(), Path.of(arguments[2]));
        } catch (Throwable e) {
            System.err.println("could not run: " + e);
        }
        System.exit(FIRST_EXIT_CODE + result);
    }

    private static int run(String name, Path root, Path recordFile) throws IOException, InterruptedException {
        Path work = Files.createTempDirectory("review-3-");
        try (PrintStream record = new PrintStream(recordFile.toFile(), StandardCharsets.UTF_8)) {
            record.println("case " + name + ", TROUBLE=" + (TROUBLE ? 1 : 0) + "; times in ms");
            int result = switch (name) {
                case "padded-body" -> paddedBody(root, work, record);
                case "beat-without-lists" -> beatWithoutLists(root, work, record);
                case "late-answer-in-body" -> lateAnswerInBody(root, work, record);
                case "copy-of-few-bytes" -> copyOfFewBytes(root, work, record);
                case "header-limit" -> headerLimit(root, work, record);
                default -> NOT_RUN;
            };
            record.println("result " + result);
            return result;
        } finally {
            if (System.getenv("KEEP") == null) {
                try (var files = Files.walk(work)) {
                    files.sorted(java.util.Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
                }
            } else {
                System.err.println("logs in " + work);
            }
        }
    }

    /** One answer whose body holds a line like the first of a response, then a field name and blanks. */
    private static int paddedBody(Path root, Path work, PrintStream record)
            throws IOException, InterruptedException {
        int timeoutMillis = 2_500;
        String text = (TROUBLE ? "HTTP/1.1 200 OK" : "KILN/7.1 100 OK") + "\r\nnote:";
        byte[] padded = (text + " ".repeat(4_000 - text.length())).getBytes(StandardCharsets.ISO_8859_1);
        try (Lab lab = new Lab(root, work, record)) {
            AtomicBoolean paddedRan = new AtomicBoolean();
            Lab.Answerer answerer = (request, out) -> {
                Thread.sleep(30);
                if (request.path.contains("padded")) {
                    paddedRan.set(true);
                }
                Lab.write(out, 200, Lab.answerHeaders(request),
                        request.path.contains("padded") ? padded : ("ok " + request.id()).getBytes(StandardCharsets.UTF_8));
            };
            Lab.Router first = lab.router("sidecar-kalna-1", "kalna", "bhati");
            Lab.Router second = lab.router("sidecar-katwa-1", "katwa", "bhati");
            Lab.Router third = lab.router("sidecar-katwa-2", "katwa", "haat");
            lab.new Target("i-first", first, false, answerer);
            lab.new Target("i-second", second, false, answerer);
            lab.new Target("i-third", third, false, answerer);
            lab.configure(7, "bhati", false, timeoutMillis);
            if (!Lab.await(20_000, () -> first.isReady() && second.isReady() && third.isReady())) {
                lab.logRouters();
                return NOT_RUN;
            }
            Lab.pause(5_000);
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger unansweredAtTimeout = new AtomicInteger();
            AtomicInteger stillUnanswered = new AtomicInteger();
            long paddedAtMillis = lab.millis() + 5_000;
            Lab.thread(() -> {
                Lab.pause(5_000);
                sendPadded(lab, third);
            });
            for (int i = 0; i < 150; i++) {
                String id = String.format("r%05d", i);
                Lab.Router router = i % 2 == 0 ? first : second;
                Lab.thread(() -> sendSmall(
                        lab, router, id, timeoutMillis, sent, served, unansweredAtTimeout, stillUnanswered));
                Lab.pause(100);
                if (i == 45 && served.get() < 40) {
                    lab.log("served before only " + served);
                    return NOT_RUN;
                }
            }
            Lab.pause(4_000);
            if (!paddedRan.get()) {
                return NOT_RUN;
            }
            lab.log("routers ready: " + first.isReady() + " " + second.isReady() + " " + third.isReady());
            lab.log("padded1 asked for at " + paddedAtMillis + "; small requests sent " + sent + ", unanswered at timeout_ms "
                    + unansweredAtTimeout + ", of these without an answer 500 ms later " + stillUnanswered);
            boolean broken = stillUnanswered.get() * 2 > unansweredAtTimeout.get() && stillUnanswered.get() >= 10;
            return broken ? BROKEN : HELD;
        }
    }

    private static void sendPadded(Lab lab, Lab.Router router) {
        try {
            lab.log("client sends padded1 to " + router.name);
            Lab.Response response =
                    Lab.call(router.outbound, "GET", "/safe/padded", Lab.requestHeaders("padded1", 8_000, -1), new byte[0], 60_000);
            lab.log("client gets " + response.status + " with " + response.body.length + " bytes for padded1");
        } catch (IOException e) {
            lab.log("client gets nothing for padded1: " + e.getMessage());
        }
    }

    private static void sendSmall(
            Lab lab, Lab.Router router, String id, int timeoutMillis, AtomicInteger sent, AtomicInteger served,
            AtomicInteger atTimeout, AtomicInteger later) {
        sent.incrementAndGet();
        AtomicReference<String> outcome = new AtomicReference<>();
        lab.log("client sends " + id + " to " + router.name);
        Lab.thread(() -> {
            try {
                Lab.Response response = Lab.call(router.outbound, "GET", "/safe/" + id,
                        Lab.requestHeaders(id, 8_000, -1), new byte[0], 20_000);
                outcome.set(Integer.toString(response.status));
                served.addAndGet(response.status == 200 ? 1 : 0);
            } catch (IOException e) {
                outcome.set("failed: " + e.getMessage());
            }
            lab.log("client gets " + outcome.get() + " for " + id);
        });
        Lab.pause(timeoutMillis);
        if (outcome.get() == null) {
            atTimeout.incrementAndGet();
            Lab.pause(500);
            if (outcome.get() == null) {
                later.incrementAndGet();
            }
        }
    }

    /** While a target drains and still works on a key, a heartbeat arrives that lacks the lists of keys. */
    private static int beatWithoutLists(Path root, Path work, PrintStream record)
            throws IOException, InterruptedException {
        int workMillis = 2_350;
        Map<String, long[]> atWork = new ConcurrentHashMap<>();
        AtomicInteger broken = new AtomicInteger();
        try (Lab lab = new Lab(root, work, record) {
            @Override
            void onGrant(Target target, List<Range> granted) {
                atWork.forEach((id, what) -> granted.stream()
                        .filter(range -> !target.id.equals("i-first") && range.first() <= what[0] && what[0] <= range.last())
                        .filter(range -> millis() < what[1])
                        .forEach(range -> {
                            broken.incrementAndGet();
                            log("OWNER: " + target.id + " takes key " + what[0] + " with token " + range.token()
                                    + " while i-first is at work on it, " + (what[1] - millis())
                                    + " ms before the hold of i-first runs out");
                        }));
            }
        }) {
            AtomicReference<Lab.Target> firstTarget = new AtomicReference<>();
            Lab.Answerer answerer = (request, out) -> {
                boolean slow = request.path.contains("long");
                Lab.Target first = firstTarget.get();
                if (slow) {
                    atWork.put(request.id(), new long[] {request.key(), Long.MAX_VALUE});
                }
                long endMillis = lab.millis() + (slow ? workMillis : 20);
                while (lab.millis() < endMillis) {
                    for (Lab.Range range : first.held) {
                        if (slow && range.first() <= request.key() && request.key() <= range.last()) {
                            atWork.put(request.id(), new long[] {request.key(), range.endMillis()});
                        }
                    }
                    Thread.sleep(5);
                }
                atWork.remove(request.id());
                if (slow) {
                    lab.log("i-first ends its work on " + request.id());
                }
                Lab.write(out, 200, Lab.answerHeaders(request), "done".getBytes(StandardCharsets.UTF_8));
            };
            Lab.Router first = lab.router("sidecar-kalna-1", "kalna", "haat");
            Lab.Router second = lab.router("sidecar-katwa-1", "katwa", "haat");
            firstTarget.set(lab.new Target("i-first", first, true, answerer));
            Lab.Target other = lab.new Target("i-second", second, true, answerer);
            lab.configure(7, "haat", true, 4_000);
            Lab.Target target = firstTarget.get();
            if (!Lab.await(30_000, () -> !target.held.isEmpty() && !other.held.isEmpty())) {
                lab.logRouters();
                return NOT_RUN;
            }
            Lab.pause(4_000);
            int key = target.held.get(0).first() + 3;
            long beat = target.lastSequence;
            Lab.await(2_000, () -> target.lastSequence > beat);
            Lab.pause(700);
            Lab.thread(() -> {
                try {
                    Lab.Response response = Lab.call(first.outbound, "POST", "/order/long",
                            Lab.requestHeaders("order1", 8_000, key), new byte[0], 10_000);
                    lab.log("client gets " + response.status + " for order1");
                } catch (IOException e) {
                    lab.log("client gets nothing for order1: " + e.getMessage());
                }
            });
            lab.log("client sends order1 with key " + key + "; i-first drains from its next heartbeat on");
            Lab.pause(100);
            target.state = "draining";
            boolean taken = Lab.await(4_000, () -> target.tokenOf(key) < 0);
            lab.log("key " + key + " taken away from i-first: " + taken + ", at work on it: " + !atWork.isEmpty());
            if (!taken || atWork.isEmpty()) {
                return NOT_RUN;
            }
            if (TROUBLE) {
                Lab.pause(20);
                long number;
                synchronized (target) {
                    number = ++target.sequence;
                }
                String odd = target.beatBody(number, "");
                Lab.Response response = Lab.call(first.control, "POST", "/instances/i-first/heartbeat",
                        Map.of("Content-Type", "application/json"), odd.getBytes(StandardCharsets.UTF_8), 1_000);
                lab.log("another writer's heartbeat without holds and freed, seq_num " + number + ": " + response.status
                        + " " + new String(response.body, StandardCharsets.UTF_8));
            }
            Lab.pause(4_000);
            return broken.get() > 0 ? BROKEN : HELD;
        }
    }

    /** An answer breaks off in its body, and a late extra answer to an earlier request fills the rest of its length. */
    private static int lateAnswerInBody(Path root, Path work, PrintStream record)
            throws IOException, InterruptedException {
        try (Lab lab = new Lab(root, work, record)) {
            Map<Long, Lab.Request> earlier = new ConcurrentHashMap<>();
            Map<String, byte[]> whole = new ConcurrentHashMap<>();
            AtomicInteger spoiled = new AtomicInteger();
            Lab.Answerer answerer = (request, out) -> {
                byte[] body = ("body of " + request.id() + ";").repeat(120).getBytes(StandardCharsets.ISO_8859_1);
                whole.put(request.id(), body);
                Lab.Request before = earlier.put(request.connection, request);
                if (!TROUBLE || before == null) {
                    Lab.write(out, 200, Lab.answerHeaders(request), body);
                    return;
                }
                byte[] earlierBody = whole.get(before.id());
                byte[] extraHead = Lab.head(200, Lab.answerHeaders(before), earlierBody.length);
                int rest = 1_000;
                out.write(Lab.head(200, Lab.answerHeaders(request), body.length));
                out.write(body, 0, body.length - rest);
                out.write(extraHead);
                out.write(earlierBody, 0, rest - extraHead.length);
                out.flush();
                // What is left of the extra answer comes a little later.
                Thread.sleep(20);
                out.write(earlierBody, rest - extraHead.length, earlierBody.length - rest + extraHead.length);
                out.flush();
                spoiled.incrementAndGet();
            };
            Lab.Router first = lab.router("sidecar-kalna-1", "kalna", "bhati");
            lab.new Target("i-first", first, false, answerer);
            lab.configure(7, "bhati", false, 2_500);
            if (!Lab.await(20_000, first::isReady)) {
                lab.logRouters();
                return NOT_RUN;
            }
            Lab.pause(4_000);
            int mixed = 0;
            int right = 0;
            for (int i = 0; i < 20; i++) {
                String id = String.format("r%05d", i);
                lab.log("client sends " + id);
                Lab.Response response = Lab.call(first.outbound, "GET", "/safe/" + id,
                        Lab.requestHeaders(id, 4_000, -1), new byte[0], 6_000);
                boolean wrong = response.status == 200 && !Arrays.equals(response.body, whole.get(id));
                mixed += wrong ? 1 : 0;
                right += response.status == 200 && !wrong ? 1 : 0;
                lab.log("client gets " + response.status + " signature "
                        + response.headers.get("x-siskindyke-response-signature") + " for " + id
                        + (wrong ? "; MIXED, its body holds: "
                                + new String(response.body, StandardCharsets.ISO_8859_1).replaceAll("(?s)^.*?(HTTP/1.1.*?);.*$", "$1").replaceAll("\r\n", "|") : ""));
                Lab.pause(50);
            }
            lab.log("answers spoiled " + spoiled + ", answers with foreign bytes delivered as successes " + mixed);
            if (TROUBLE && spoiled.get() == 0 || right < 8) {
                return NOT_RUN;
            }
            return mixed > 0 ? BROKEN : HELD;
        }
    }

    /** An answer breaks off 17 bytes before its end, and is written once more on its connection. */
    private static int copyOfFewBytes(Path root, Path work, PrintStream record)
            throws IOException, InterruptedException {
        int missing = 17;
        try (Lab lab = new Lab(root, work, record)) {
            Map<String, byte[]> whole = new ConcurrentHashMap<>();
            AtomicInteger spoiled = new AtomicInteger();
            AtomicInteger count = new AtomicInteger();
            Lab.Answerer answerer = (request, out) -> {
                byte[] body = ("body of " + request.id() + ";").repeat(120).getBytes(StandardCharsets.ISO_8859_1);
                whole.put(request.id(), body);
                byte[] head = Lab.head(200, Lab.answerHeaders(request), body.length);
                out.write(head);
                if (TROUBLE && count.incrementAndGet() % 2 == 0) {
                    out.write(body, 0, body.length - missing);
                    out.write(head);
                    spoiled.incrementAndGet();
                }
                out.write(body);
                out.flush();
            };
            Lab.Router first = lab.router("sidecar-kalna-1", "kalna", "bhati");
            Lab.Router second = lab.router("sidecar-katwa-1", "katwa", "bhati");
            lab.new Target("i-first", first, false, answerer);
            lab.new Target("i-second", second, false, answerer);
            lab.configure(7, "bhati", false, 2_500);
            if (!Lab.await(20_000, () -> first.isReady() && second.isReady())) {
                lab.logRouters();
                return NOT_RUN;
            }
            Lab.pause(4_000);
            int mixed = 0;
            int right = 0;
            for (int i = 0; i < 20; i++) {
                String id = String.format("r%05d", i);
                lab.log("client sends " + id);
                Lab.Response response = Lab.call((i % 2 == 0 ? first : second).outbound, "GET", "/safe/" + id,
                        Lab.requestHeaders(id, 4_000, -1), new byte[0], 6_000);
                boolean wrong = response.status == 200 && !Arrays.equals(response.body, whole.get(id));
                mixed += wrong ? 1 : 0;
                right += response.status == 200 && !wrong ? 1 : 0;
                String text = new String(response.body, StandardCharsets.ISO_8859_1);
                lab.log("client gets " + response.status + " for " + id
                        + (wrong ? "; MIXED, its body ends with: " + text.substring(text.length() - 40) : ""));
                Lab.pause(50);
            }
            lab.log("answers spoiled " + spoiled + ", delivered as successes with a wrong body " + mixed);
            if (TROUBLE && spoiled.get() == 0 || right < 8) {
                return NOT_RUN;
            }
            return mixed > 0 ? BROKEN : HELD;
        }
    }

    /** A configuration allows longer header sections; clients use them on connections that they have kept. */
    private static int headerLimit(Path root, Path work, PrintStream record)
            throws IOException, InterruptedException {
        try (Lab lab = new Lab(root, work, record)) {
            Lab.Answerer answerer = (request, out) ->
                    Lab.write(out, 200, Lab.answerHeaders(request), "done".getBytes(StandardCharsets.UTF_8));
            Lab.Router first = lab.router("sidecar-kalna-1", "kalna", "bayna");
            Lab.Router second = lab.router("sidecar-katwa-1", "katwa", "bayna");
            lab.new Target("i-first", first, false, answerer);
            lab.new Target("i-second", second, false, answerer);
            lab.configure(7, "bayna", false, 1_500, TROUBLE ? 16_384 : 32_768);
            if (!Lab.await(20_000, () -> first.isReady() && second.isReady())) {
                lab.logRouters();
                return NOT_RUN;
            }
            Lab.pause(4_000);
            List<java.net.Socket> kept = new java.util.ArrayList<>();
            for (int i = 0; i < 20; i++) {
                java.net.Socket socket = new java.net.Socket();
                socket.setSoTimeout(4_000);
                socket.connect((i % 2 == 0 ? first : second).outbound, 1_000);
                kept.add(socket);
                int status = send(lab, socket, "s" + i, 0);
                lab.log("kept connection " + i + ", short: " + status);
                if (status != 200) {
                    return NOT_RUN;
                }
            }
            lab.configure(8, "bayna", false, 1_500, 32_768);
            lab.log("version r8 is acknowledged, max_header_bytes 32768");
            Lab.pause(5_000);
            int denied = 0;
            for (int i = 0; i < 20; i++) {
                int status = sendOnKept(lab, kept.get(i), (i % 2 == 0 ? first : second), "l" + i);
                denied += status / 100 == 4 && status != 408 && status != 421 && status != 429 ? 1 : 0;
                lab.log("kept connection " + i + ", 20,000 bytes of fields: " + status);
                kept.get(i).close();
            }
            int deniedOnNew = 0;
            for (int i = 0; i < 20; i++) {
                try (java.net.Socket socket = new java.net.Socket()) {
                    socket.setSoTimeout(4_000);
                    socket.connect((i % 2 == 0 ? first : second).outbound, 1_000);
                    int status = send(lab, socket, "n" + i, 20_000);
                    deniedOnNew += status / 100 == 4 ? 1 : 0;
                    lab.log("new connection, 20,000 bytes of fields: " + status);
                    if (status != 200) {
                        return NOT_RUN;
                    }
                }
            }
            lab.log("denied " + denied + " of 20 on kept connections, " + deniedOnNew + " of 20 on new ones; 60 requests");
            return denied + deniedOnNew > 5 + 60 / 500 ? BROKEN : HELD;
        }
    }

    /** Sends an order on a kept connection, or on a new one if the router has closed that. */
    private static int sendOnKept(Lab lab, java.net.Socket socket, Lab.Router router, String id) throws IOException {
        try {
            return send(lab, socket, id, 20_000);
        } catch (IOException e) {
            lab.log("kept connection of " + id + " was closed: " + e.getMessage());
        }
        try (java.net.Socket other = new java.net.Socket()) {
            other.setSoTimeout(4_000);
            other.connect(router.outbound, 1_000);
            return send(lab, other, id + "-again", 20_000);
        }
    }

    private static int send(Lab lab, java.net.Socket socket, String id, int fieldBytes) throws IOException {
        lab.log("client sends order " + id + " with " + fieldBytes + " bytes of fields");
        Map<String, String> headers = Lab.requestHeaders(id, 4_000, -1);
        for (int i = 0; i < fieldBytes / 1_000; i++) {
            headers.put("X-Field-" + i, "v".repeat(980));
        }
        socket.getOutputStream().write(Lab.requestBytes("POST", "/order/" + id, headers, new byte[0]));
        return Lab.readResponse(socket.getInputStream()).status;
    }
}
