package org.siskindyke.standin;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.HttpServiceContext;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.plugin.table.EmbeddedTable;
import org.siskindyke.plugin.table.TableProtocol;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;

/**
 * A stand-in for the platform's table service, with switchable faults and counts of reads and writes. Requests for
 * {@code /faults}, {@code /reset} and {@code /stats} control it.
 */
public final class TableStandin implements HttpService, AutoCloseable {
    private static final int PERCENT = 100;

    private final TableService table = new EmbeddedTable();
    private final RateMeter reads = new RateMeter(SystemMonotonicClock.INSTANCE);
    private final RateMeter writes = new RateMeter(SystemMonotonicClock.INSTANCE);
    private final HttpServerContext server;
    private volatile TableFaults faults = TableFaults.NONE;

    /**
     * Starts the stand-in.
     *
     * @param host address to bind
     * @param port TCP port; 0 for any free one
     */
    public TableStandin(String host, int port) {
        this.server = Http.serve(host, port, Http.Protocol.HTTP_1_1, this);
    }

    /**
     * Counts since the start or the last reset.
     *
     * @param reads total reads
     * @param writes total transactions
     * @param mostReadsInSecond the maximum of reads in any second
     * @param mostWritesInSecond the maximum of transactions in any second
     */
    public record Stats(long reads, long writes, long mostReadsInSecond, long mostWritesInSecond) {}

    /** Returns the TCP port on which the stand-in listens. */
    public int port() {
        return Http.portOf(server);
    }

    /** Sets the faults of all following calls. */
    public void setFaults(TableFaults newFaults) {
        faults = newFaults;
    }

    @Override
    public Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        return Single.defer(() -> route(request, factory)).onErrorReturn(failure -> Json.problem(factory, failure));
    }

    private Single<HttpResponse> route(HttpRequest request, HttpResponseFactory factory) {
        return switch (request.path()) {
            case "/faults" -> {
                faults = Json.read(request.payloadBody(), TableFaults.class);
                yield Single.succeeded(Json.respond(factory, HttpResponseStatus.OK, faults));
            }
            case "/reset" -> {
                reads.reset();
                writes.reset();
                yield Single.succeeded(factory.noContent());
            }
            case "/stats" ->
                Single.succeeded(Json.respond(
                        factory,
                        HttpResponseStatus.OK,
                        new Stats(reads.total(), writes.total(), reads.maxPerSecond(), writes.maxPerSecond())));
            case TableProtocol.COMMIT -> commit(request, factory);
            default -> read(request, factory);
        };
    }

    private Single<HttpResponse> read(HttpRequest request, HttpResponseFactory factory) {
        reads.add(1);
        TableFaults activeFaults = faults;
        if (activeFaults.down()) {
            return Single.never();
        }
        CompletionStage<?> answer =
                switch (request.path()) {
                    case TableProtocol.CHANGES ->
                        table.changesSince(numberParameter(request, "since"), (int) numberParameter(request, "limit"));
                    case TableProtocol.ROW -> table.read(RowPath.of(textParameter(request, "path")));
                    case TableProtocol.ROWS ->
                        table.list(textParameter(request, "prefix"), (int) numberParameter(request, "limit"))
                                .thenApply(TableProtocol.Rows::new);
                    default ->
                        throw new SiskindykeException(ErrorCode.NOT_FOUND, "no such path; see the table protocol");
                };
        return delayed(
                activeFaults,
                () -> Single.fromStage(answer).map(value -> Json.respond(factory, HttpResponseStatus.OK, value)));
    }

    private Single<HttpResponse> commit(HttpRequest request, HttpResponseFactory factory) {
        writes.add(1);
        TableFaults activeFaults = faults;
        if (activeFaults.down() || occurs(activeFaults.loseRequestsPercent())) {
            return Single.never();
        }
        Transaction transaction = Json.read(request.payloadBody(), Transaction.class);
        return delayed(
                activeFaults,
                () -> Single.fromStage(table.commit(transaction)).flatMap(result -> {
                    if (occurs(activeFaults.loseAnswersPercent())) {
                        return Single.never();
                    }
                    return Single.succeeded(Json.respond(factory, HttpResponseStatus.OK, result));
                }));
    }

    private static <T> Single<T> delayed(TableFaults activeFaults, Supplier<Single<T>> answer) {
        if (activeFaults.delayMillis() == 0) {
            return answer.get();
        }
        return Executors.global()
                .timer(Duration.ofMillis(activeFaults.delayMillis()))
                .concat(Single.defer(answer));
    }

    private static boolean occurs(int percent) {
        return percent > 0 && ThreadLocalRandom.current().nextInt(PERCENT) < percent;
    }

    private static String textParameter(HttpRequest request, String name) {
        String value = request.queryParameter(name);
        if (value == null) {
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "query parameter '" + name + "' is missing");
        }
        return value;
    }

    private static long numberParameter(HttpRequest request, String name) {
        try {
            return Long.parseLong(textParameter(request, name));
        } catch (NumberFormatException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST, "query parameter '" + name + "' is not a whole number", e);
        }
    }

    @Override
    public void close() {
        server.closeAsync().subscribe();
    }
}
