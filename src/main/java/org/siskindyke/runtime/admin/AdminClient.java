package org.siskindyke.runtime.admin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import org.siskindyke.kernel.document.DocumentReader;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/**
 * A blocking client of the administration API, for commands.
 *
 * <p>Methods throw {@link SiskindykeException} with the code that the router reports ({@code INTERNAL} if it is unknown
 * here), with {@code PEER_UNAVAILABLE} if the request fails or times out, or with {@code INVALID_REQUEST} if the body
 * of the response is not the expected JSON.
 */
public final class AdminClient implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 8;
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient client;
    private final String address;

    /**
     * Creates a client.
     *
     * @param host IP address of a router
     * @param port the router's admin port
     */
    public AdminClient(String host, int port) {
        this.client = Http.client(host, port, Http.Protocol.HTTP_1_1);
        this.address = host + ":" + port;
    }

    /**
     * Stores a new revision of a document.
     *
     * @param document the edited document
     * @param expectedNumber the revision that the edit started from; 0 for a new document
     * @param editor who edits, for the history
     * @return the accepted revision
     */
    public DocumentRow put(ServiceDocument document, long expectedNumber, String editor) {
        HttpRequest request = client.put("/v1/documents/" + document.service());
        if (expectedNumber == 0) {
            request.headers().set("if-none-match", "*");
        } else {
            request.headers().set("if-match", "\"" + expectedNumber + "\"");
        }
        request.headers().set("siskindyke-editor", editor);
        request.payloadBody(DEFAULT_ALLOCATOR.fromUtf8(DocumentReader.write(document)));
        return Json.read(send(request), DocumentRow.class);
    }

    /** Returns the accepted revision of a document. */
    public DocumentRow document(String service) {
        return Json.read(send(client.get("/v1/documents/" + service)), DocumentRow.class);
    }

    /** Returns the accepted revisions of all documents, at most 1,000. */
    public List<DocumentRow> documents() {
        return rows(send(client.get("/v1/documents")));
    }

    /** Returns at most 1,000 accepted revisions of a document, oldest first. */
    public List<DocumentRow> history(String service) {
        return rows(send(client.get("/v1/documents/" + service + "/history")));
    }

    /** Returns the state of the cluster, as the router sees it. */
    public ClusterStatus status() {
        return Json.read(send(client.get("/v1/status")), ClusterStatus.class);
    }

    /** Returns the state of the router's instance. */
    public InstanceStatus instance() {
        return Json.read(send(client.get("/v1/instance")), InstanceStatus.class);
    }

    /**
     * Replaces the set of peer ports to which the router drops messages; fails with {@code NOT_FOUND} if the router was
     * not started with {@code --fault-injection}.
     */
    public void cutLinks(List<Integer> peerPorts) {
        HttpRequest request = client.put("/v1/links");
        send(request.payloadBody(DEFAULT_ALLOCATOR.fromUtf8(Json.write(new AdminServer.CutLinks(peerPorts)))));
    }

    /** Stops new work of the service's backend server beside the router, and drains it. */
    public void withdraw(String service) {
        send(client.delete("/v1/targets/" + service));
    }

    private String send(HttpRequest request) {
        HttpResponse response;
        try {
            response = client.request(request).toFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unreachable(e);
        } catch (Exception e) {
            throw unreachable(e);
        }
        String body = response.payloadBody().toString(StandardCharsets.UTF_8);
        if (response.status().code() >= FIRST_ERROR_STATUS) {
            Json.Problem problem = Json.read(body, Json.Problem.class);
            throw new SiskindykeException(code(problem.code()), problem.detail());
        }
        return body;
    }

    private SiskindykeException unreachable(Exception cause) {
        return new SiskindykeException(
                ErrorCode.PEER_UNAVAILABLE, "no response from the router at " + address + "; check --admin", cause);
    }

    private static ErrorCode code(String name) {
        try {
            return ErrorCode.valueOf(name);
        } catch (IllegalArgumentException e) {
            return ErrorCode.INTERNAL;
        }
    }

    private static List<DocumentRow> rows(String body) {
        try {
            return Json.mapper().readValue(body, new TypeReference<List<DocumentRow>>() {});
        } catch (JsonProcessingException e) {
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "the router responded with malformed JSON", e);
        }
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }
}
