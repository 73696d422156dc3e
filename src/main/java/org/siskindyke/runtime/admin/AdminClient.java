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

/** A blocking client of the administration API, for commands. */
public final class AdminClient implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 8;
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient client;
    private final String address;

    /**
     * Creates a client.
     *
     * @param host an IP number
     * @param port a router's port for operators
     */
    public AdminClient(String host, int port) {
        this.client = Http.client(host, port, Http.Protocol.HTTP_1_1);
        this.address = host + ":" + port;
    }

    /** Puts a document that was edited from a revision; 0 for a new one. */
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

    /** Gets the accepted revision of a document. */
    public DocumentRow document(String service) {
        return Json.read(send(client.get("/v1/documents/" + service)), DocumentRow.class);
    }

    /** Lists the accepted documents. */
    public List<DocumentRow> documents() {
        return rows(send(client.get("/v1/documents")));
    }

    /** Lists the accepted revisions of a document, oldest first. */
    public List<DocumentRow> history(String service) {
        return rows(send(client.get("/v1/documents/" + service + "/history")));
    }

    /** Returns the state of the cluster. */
    public ClusterStatus status() {
        return Json.read(send(client.get("/v1/status")), ClusterStatus.class);
    }

    /** Returns the state of the instance that is asked. */
    public InstanceStatus instance() {
        return Json.read(send(client.get("/v1/instance")), InstanceStatus.class);
    }

    /** Cuts links from the router to others; needs fault injection. */
    public void cutLinks(List<Integer> peerPorts) {
        HttpRequest request = client.put("/v1/links");
        send(request.payloadBody(DEFAULT_ALLOCATOR.fromUtf8(Json.write(new AdminServer.CutLinks(peerPorts)))));
    }

    /** Withdraws the backend server of a service. */
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
                ErrorCode.PEER_UNAVAILABLE, "no answer of the router at " + address + "; check --admin", cause);
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
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "the router answered with malformed JSON", e);
        }
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }
}
