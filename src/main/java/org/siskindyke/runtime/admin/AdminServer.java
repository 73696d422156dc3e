package org.siskindyke.runtime.admin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.HttpServiceContext;
import org.siskindyke.kernel.document.DocumentReader;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.runtime.http.Json;

/** The administration API over HTTP: documents, targets, status and metrics. */
public final class AdminServer implements HttpService {
    private static final int MAX_BODY_BYTES = DocumentReader.MAX_CHARACTERS;
    private static final String EDITOR_HEADER = "siskindyke-editor";

    private final AdminOperations operations;

    /** Creates the service. */
    public AdminServer(AdminOperations operations) {
        this.operations = operations;
    }

    /**
     * The body by which a backend server announces itself.
     *
     * @param target its name among the service's targets
     * @param host IP address
     * @param port TCP port
     * @param checksGrants whether it refuses, and ends, calls outside the grant that its router renews
     */
    public record Announcement(String target, String host, int port, boolean checksGrants) {}

    /**
     * The body of a request to cut links, for fault injection.
     *
     * @param peerPorts peer ports of the routers to which messages are dropped
     */
    public record CutLinks(List<Integer> peerPorts) {}

    /** The body of a response to a request that was accepted and returns no data. */
    public record Accepted(String result) {}

    @Override
    public Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        return Single.defer(() -> route(request, factory)).onErrorReturn(failure -> problem(factory, failure));
    }

    private static HttpResponse problem(HttpResponseFactory factory, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return Json.problem(factory, cause);
    }

    private Single<HttpResponse> route(HttpRequest request, HttpResponseFactory factory) {
        if (request.payloadBody().readableBytes() > MAX_BODY_BYTES) {
            throw new SiskindykeException(
                    ErrorCode.TOO_LARGE, "the body is longer than " + MAX_BODY_BYTES + " bytes; send less");
        }
        String[] path = request.path().substring(1).split("/");
        // The method, the segment after the API version (or the only one) and the number of segments.
        String resource = request.method().name() + " " + (path.length > 1 ? path[1] : path[0]) + " " + path.length;
        return switch (resource) {
            case "GET metrics 1" -> Single.succeeded(metrics(factory));
            case "GET status 2" -> json(operations.clusterStatus(), factory);
            case "GET instance 2" -> json(operations.instanceStatus(), factory);
            case "GET documents 2" -> json(operations.documents().list(), factory);
            // Validates a document without storing it; responds with the document and its defaults filled in.
            case "POST check 2" ->
                Single.succeeded(Json.respond(factory, HttpResponseStatus.OK, DocumentReader.read(body(request))));
            case "GET documents 3" -> get(ServiceName.of(path[2]), factory);
            case "PUT documents 3" -> put(ServiceName.of(path[2]), request, factory);
            case "GET documents 4" -> json(operations.documents().history(ServiceName.of(path[2])), factory);
            case "GET targets 3" -> target(ServiceName.of(path[2]), factory);
            case "PUT targets 3" -> announce(ServiceName.of(path[2]), request, factory);
            case "DELETE targets 3" -> {
                operations.withdraw(ServiceName.of(path[2]));
                yield Single.succeeded(Json.respond(factory, HttpResponseStatus.ACCEPTED, new Accepted("draining")));
            }
            case "PUT links 2" -> cutLinks(request, factory);
            default ->
                throw new SiskindykeException(
                        ErrorCode.NOT_FOUND, "no resource " + request.method().name() + " " + request.path());
        };
    }

    private HttpResponse metrics(HttpResponseFactory factory) {
        HttpResponse response = Json.respond(factory, HttpResponseStatus.OK, operations.metricsPage());
        response.headers().set("content-type", "text/plain; version=0.0.4");
        return response;
    }

    private Single<HttpResponse> get(ServiceName service, HttpResponseFactory factory) {
        return Single.fromStage(operations.documents().get(service)).map(row -> document(row, factory));
    }

    private Single<HttpResponse> put(ServiceName service, HttpRequest request, HttpResponseFactory factory) {
        ServiceDocument document = DocumentReader.read(body(request));
        if (!document.service().equals(service)) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_DOCUMENT,
                    "service: is '" + document.service() + "' but the path names '" + service + "'; use one name");
        }
        CharSequence editor = request.headers().get(EDITOR_HEADER);
        return Single.fromStage(operations
                        .documents()
                        .put(document, expectedNumber(request), editor == null ? "unknown" : editor.toString()))
                .map(row -> document(row, factory));
    }

    private static HttpResponse document(DocumentRow row, HttpResponseFactory factory) {
        HttpResponse response = Json.respond(factory, HttpResponseStatus.OK, row);
        response.headers().set("etag", "\"" + row.number() + "\"");
        return response;
    }

    private static long expectedNumber(HttpRequest request) {
        CharSequence ifNoneMatch = request.headers().get("if-none-match");
        if (ifNoneMatch != null && "*".contentEquals(ifNoneMatch)) {
            return 0;
        }
        CharSequence ifMatch = request.headers().get("if-match");
        String text = ifMatch == null ? "" : ifMatch.toString();
        if (!text.matches("\"[0-9]{1,18}\"")) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST,
                    "the edit does not name the revision that it started from; send If-Match: \"<revision>\", or "
                            + "If-None-Match: * for a new document");
        }
        return Long.parseLong(text.substring(1, text.length() - 1));
    }

    private Single<HttpResponse> target(ServiceName service, HttpResponseFactory factory) {
        return Single.fromStage(operations.target(service))
                .map(found -> found.map(t -> Json.respond(factory, HttpResponseStatus.OK, t))
                        .orElseThrow(() -> new SiskindykeException(
                                ErrorCode.NOT_FOUND, "no target of service '" + service + "' at this router")));
    }

    private Single<HttpResponse> announce(ServiceName service, HttpRequest request, HttpResponseFactory factory) {
        Announcement announcement = Json.read(body(request), Announcement.class);
        boolean complete = announcement.host() != null && announcement.port() > 0 && announcement.port() < 65_536;
        if (!complete) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST, "host and port: give an IP address and a port from 1 to 65535");
        }
        operations.announce(new TargetAnnouncement(
                service,
                TargetName.of(announcement.target()),
                announcement.host(),
                announcement.port(),
                true,
                announcement.checksGrants()));
        return Single.succeeded(Json.respond(factory, HttpResponseStatus.OK, new Accepted("announced")));
    }

    private Single<HttpResponse> cutLinks(HttpRequest request, HttpResponseFactory factory) {
        if (!operations.cutLinks(Json.read(body(request), CutLinks.class).peerPorts())) {
            throw new SiskindykeException(
                    ErrorCode.NOT_FOUND, "fault injection is off; start the router with --fault-injection");
        }
        return Single.succeeded(Json.respond(factory, HttpResponseStatus.OK, new Accepted("cut")));
    }

    private static String body(HttpRequest request) {
        return request.payloadBody().toString(StandardCharsets.UTF_8);
    }

    private static Single<HttpResponse> json(CompletionStage<?> value, HttpResponseFactory factory) {
        return Single.fromStage(value).map(v -> Json.respond(factory, HttpResponseStatus.OK, v));
    }
}
