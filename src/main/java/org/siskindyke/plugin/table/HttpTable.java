package org.siskindyke.plugin.table;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseStatus;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/**
 * A client of the table service's HTTP interface.
 *
 * <p>A request that fails or times out replaces the client and its connections, so that a connection that has stopped
 * responding costs a single timeout.
 */
public final class HttpTable implements TableService {
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final String host;
    private final int port;
    private final AtomicReference<HttpClient> client;

    /**
     * Creates a client.
     *
     * @param host IP address of the table service
     * @param port TCP port of the table service
     */
    public HttpTable(String host, int port) {
        this.host = host;
        this.port = port;
        this.client = new AtomicReference<>(connect());
    }

    private HttpClient connect() {
        return Http.client(host, port, Http.Protocol.HTTP_1_1);
    }

    @Override
    public CompletionStage<TableChanges> changesSince(long version, int maxRows) {
        HttpClient current = client.get();
        HttpRequest request = current.get(TableProtocol.CHANGES)
                .addQueryParameter("since", Long.toString(version))
                .addQueryParameter("limit", Integer.toString(maxRows));
        return send(current, request, TableChanges.class);
    }

    @Override
    public CompletionStage<Row> read(RowPath path) {
        HttpClient current = client.get();
        return send(current, current.get(TableProtocol.ROW).addQueryParameter("path", path.value()), Row.class);
    }

    @Override
    public CompletionStage<List<Row>> list(String prefix, int maxRows) {
        HttpClient current = client.get();
        HttpRequest request = current.get(TableProtocol.ROWS)
                .addQueryParameter("prefix", prefix)
                .addQueryParameter("limit", Integer.toString(maxRows));
        return send(current, request, TableProtocol.Rows.class).thenApply(TableProtocol.Rows::rows);
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        HttpClient current = client.get();
        HttpRequest request =
                current.post(TableProtocol.COMMIT).payloadBody(DEFAULT_ALLOCATOR.fromUtf8(Json.write(transaction)));
        return send(current, request, CommitResult.class);
    }

    @Override
    public void close() {
        client.get().closeAsync().subscribe();
    }

    private <T> CompletionStage<T> send(HttpClient current, HttpRequest request, Class<T> type) {
        return current.request(request)
                .timeout(TIMEOUT)
                .whenOnError(failure -> replaceClient(current))
                .map(response -> read(response, type))
                .onErrorResume(failure -> Single.failed(toTableException(failure)))
                .toCompletionStage();
    }

    private void replaceClient(HttpClient failed) {
        if (client.get() == failed && client.compareAndSet(failed, connect())) {
            failed.closeAsync().subscribe();
        }
    }

    private static <T> T read(HttpResponse response, Class<T> type) {
        if (!response.status().equals(HttpResponseStatus.OK)) {
            throw new SiskindykeException(
                    ErrorCode.TABLE_UNAVAILABLE, "the table service responded with status " + response.status());
        }
        return Json.read(response.payloadBody().toString(StandardCharsets.UTF_8), type);
    }

    private static SiskindykeException toTableException(Throwable failure) {
        return failure instanceof SiskindykeException tableException
                        && tableException.code() == ErrorCode.TABLE_UNAVAILABLE
                ? tableException
                : new SiskindykeException(
                        ErrorCode.TABLE_UNAVAILABLE, "request to the table service failed: " + failure, failure);
    }
}
