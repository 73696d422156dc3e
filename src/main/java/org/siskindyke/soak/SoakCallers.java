package org.siskindyke.soak;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Sends a steady load to all routers over connections that are reused until the router closes them. */
final class SoakCallers implements Consumer<String> {
    static final String SAFE = "/s/";
    static final String UNSAFE = "/u/";
    static final String MARK = "/v";
    /** Command that starts a request which ends backend servers; its number follows, 0 stops it. */
    static final String CRASH = "crash ";

    /** Prefix of the ids of such a request, before its number. */
    static final String CRASH_ID = "x";

    /** Command that sends a long request and short ones behind it to a router; its address follows. */
    static final String PIPELINE = "pipeline ";

    private static final long CRASH_INTERVAL_MILLIS = 300;

    private static final long INTERVAL_MILLIS = 45;
    private static final int CONNECTIONS = 6;
    private static final int KEYS = 65_536;
    private static final int MAX_WORK_MILLIS = 200;
    /** One of this many requests may take longer, so that some run late in a stop. */
    private static final int REQUESTS_PER_LONG_ONE = 40;
    /** Shorter than a leaving backend server that still takes requests serves on. */
    private static final int MAX_LONG_WORK_MILLIS = 1_400;
    /** The timeout that each request carries in its header. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);
    /** Longer than {@link #REQUEST_TIMEOUT}, so that an answer sent just before that timeout still arrives. */
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(5);

    /** One of this many requests is abandoned by its caller, after this time at most. */
    private static final int REQUESTS_PER_ABANDONED = 12;

    private static final int MAX_PATIENCE_MILLIS = 250;
    private static final int UNLIMITED_PATIENCE = -1;

    /** One of this many requests that may be repeated is sent again, under the same id. */
    private static final int REQUESTS_PER_REPEATED = 6;

    private static final int MAX_REPEATS = 2;
    /** One of this many repeats is sent beside the attempt before, and one of this many is abandoned. */
    private static final int REPEATS_PER_SPECIAL = 3;
    /** Delays after the attempt before; the longest leaves time for late copies of its response. */
    private static final List<Integer> MAX_REPEAT_DELAYS_MILLIS = List.of(1, 100, 3_000);

    private static final int OK = 200;

    private final Consumer<SoakEvent> journal;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final AtomicLong nextId = new AtomicLong();
    private final List<String> routers;
    private volatile int version = 1;
    private volatile int crashingRequest;

    /** A request, which may be sent several times. */
    private record Call(String route, String path, String id, int key, String body) {}

    /**
     * One more attempt of a request.
     *
     * @param router the router to send it to
     * @param atOnce whether it is sent beside the attempt before, rather than after its end
     * @param delayMillis how much later it is sent
     * @param patienceMillis as of the first attempt
     */
    private record Repeat(String router, boolean atOnce, int delayMillis, int patienceMillis) {}

    /**
     * Starts sending requests.
     *
     * @param routers addresses (host:port) at which the routers listen for callers
     * @param journal receives an event for each request and each answer
     */
    SoakCallers(List<String> routers, Consumer<SoakEvent> journal) {
        this.journal = journal;
        this.routers = routers;
        HttpClient crashClient = newClient();
        timer.scheduleWithFixedDelay(
                () -> sendCrashingRequest(crashClient), 0, CRASH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < routers.size(); i++) {
            String router = routers.get(i);
            Random random = new Random(i);
            HttpClient client = newClient();
            timer.scheduleWithFixedDelay(
                    () -> sendRequest(client, router, random), i * 7L, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            startThread(newPipeliningCaller(router, new Random(~i)));
        }
    }

    private PipeliningCaller newPipeliningCaller(String router, Random random) {
        return new PipeliningCaller(router, random, nextId, journal);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "pipelining caller");
        thread.setDaemon(true);
        thread.start();
    }

    private static HttpClient newClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(Executors.newFixedThreadPool(CONNECTIONS))
                .connectTimeout(Duration.ofSeconds(1))
                .build();
    }

    /**
     * Sets the version of the present configuration, whose marked route is called from now on, starts or stops a
     * request that ends backend servers, or sends pipelined requests to a router.
     */
    @Override
    public void accept(String line) {
        if (line.startsWith(CRASH)) {
            crashingRequest = Integer.parseInt(line.substring(CRASH.length()).trim());
        } else if (line.startsWith(PIPELINE)) {
            PipeliningCaller once = newPipeliningCaller(line.substring(PIPELINE.length()), new Random());
            startThread(once::sendRequestsThatOutlastAStop);
        } else {
            version = Integer.parseInt(line.trim());
        }
    }

    /** Sends the same content each time, under another id and to another router. */
    private void sendCrashingRequest(HttpClient client) {
        int number = crashingRequest;
        if (number == 0) {
            return;
        }
        long count = nextId.incrementAndGet();
        String router = routers.get((int) (count % routers.size()));
        String id = CRASH_ID + number + "-" + count;
        Call call = new Call(UNSAFE, UNSAFE + "crash/" + number + "/5", id, -1, "crash");
        send(client, router, call, 0, UNLIMITED_PATIENCE);
    }

    private void sendRequest(HttpClient client, String router, Random random) {
        int choice = random.nextInt(10);
        String route = choice < 6 ? SAFE : choice < 9 ? UNSAFE : MARK + version + "/";
        int key = route.equals(SAFE) ? random.nextInt(KEYS) : -1;
        String id = "c" + nextId.incrementAndGet();
        int patienceMillis = drawPatience(random, REQUESTS_PER_ABANDONED);
        boolean isLong = random.nextInt(REQUESTS_PER_LONG_ONE) == 0;
        int workMillis = random.nextInt(isLong ? MAX_LONG_WORK_MILLIS : MAX_WORK_MILLIS);
        Call call = new Call(route, route + workMillis, id, key, id);
        boolean repeated = !route.equals(UNSAFE) && random.nextInt(REQUESTS_PER_REPEATED) == 0;
        List<Repeat> repeats = repeated ? drawRepeats(router, random) : List.of();
        sendAttempts(client, new Repeat(router, false, 0, patienceMillis), call, 0, repeats);
    }

    private static int drawPatience(Random random, int requestsPerAbandoned) {
        boolean leaves = random.nextInt(requestsPerAbandoned) == 0;
        return leaves ? random.nextInt(MAX_PATIENCE_MILLIS) : UNLIMITED_PATIENCE;
    }

    /** Draws further attempts of a request, half of them at the router of the first one. */
    private List<Repeat> drawRepeats(String router, Random random) {
        List<Repeat> repeats = new ArrayList<>();
        for (int left = 1 + random.nextInt(MAX_REPEATS); left > 0; left--) {
            String next = random.nextBoolean() ? router : routers.get(random.nextInt(routers.size()));
            int maxDelayMillis = MAX_REPEAT_DELAYS_MILLIS.get(random.nextInt(MAX_REPEAT_DELAYS_MILLIS.size()));
            boolean atOnce = random.nextInt(REPEATS_PER_SPECIAL) == 0;
            repeats.add(new Repeat(
                    next,
                    atOnce,
                    atOnce ? 0 : random.nextInt(maxDelayMillis),
                    drawPatience(random, REPEATS_PER_SPECIAL)));
        }
        return repeats;
    }

    /** Sends an attempt of a request and then, beside it or after its end, the further ones. */
    private void sendAttempts(HttpClient client, Repeat attempt, Call call, int number, List<Repeat> further) {
        CompletableFuture<Void> ended = send(client, attempt.router(), call, number, attempt.patienceMillis());
        if (further.isEmpty()) {
            return;
        }
        Repeat next = further.get(0);
        Runnable sendNext = () -> sendAttempts(client, next, call, number + 1, further.subList(1, further.size()));
        if (next.atOnce()) {
            sendNext.run();
        } else {
            ended.thenRun(() -> timer.schedule(sendNext, next.delayMillis(), TimeUnit.MILLISECONDS));
        }
    }

    /**
     * Sends a request, and closes its connection once the caller's patience, if limited, has ended. The result is
     * complete once the request is answered, has failed or was left.
     */
    private CompletableFuture<Void> send(HttpClient client, String router, Call call, int attempt, int patienceMillis) {
        String id = call.id();
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + router + call.path()))
                .header("Host", "soak.example")
                .header("X-Siskindyke-Request-Id", id)
                .header("X-Siskindyke-Timeout-Ms", Long.toString(REQUEST_TIMEOUT.toMillis()))
                .timeout(CLIENT_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(call.body()));
        if (call.key() >= 0) {
            request.header("X-Siskindyke-Shard-Key", Integer.toString(call.key()));
        }
        journal.accept(SoakEvent.asked(SoakJournal.nowMillis(), router, id, attempt, call.key(), call.route()));
        CompletableFuture<HttpResponse<String>> sent =
                client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
        AtomicBoolean left = new AtomicBoolean();
        if (patienceMillis != UNLIMITED_PATIENCE) {
            timer.schedule(
                    () -> {
                        left.set(true);
                        sent.cancel(true);
                    },
                    patienceMillis,
                    TimeUnit.MILLISECONDS);
        }
        return sent.handle((response, failure) -> {
            journal.accept(
                    failure != null && left.get()
                            ? SoakEvent.left(SoakJournal.nowMillis(), router, id, attempt)
                            : SoakEvent.answered(
                                    SoakJournal.nowMillis(),
                                    router,
                                    id,
                                    attempt,
                                    failure == null ? signature(response) : null,
                                    failure == null ? response.statusCode() : 0,
                                    failure == null ? describeMismatch(response, id) : null));
            return null;
        });
    }

    /** Returns the signature of a response, or null. */
    private static String signature(HttpResponse<String> response) {
        return response.headers().firstValue("X-Siskindyke-Response-Signature").orElse(null);
    }

    private static String describeMismatch(HttpResponse<String> response, String id) {
        if (response.statusCode() != OK) {
            return null;
        }
        String signature = String.valueOf(signature(response));
        String responseId =
                response.headers().firstValue("X-Siskindyke-Request-Id").orElse("none");
        boolean matches = signature.startsWith("s." + id + ".")
                && responseId.equals(id)
                && response.body().startsWith("answer of ")
                && response.body().endsWith(" " + signature);
        return matches ? null : "signature " + signature + ", id " + responseId + ", body " + response.body();
    }
}
