package org.siskindyke.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceRouter;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;

/** Handles the heartbeats and the deregistration of the backend server beside the router. */
final class HeartbeatEndpoint implements HttpExchange.Handler {
    private static final Pattern PATH = Pattern.compile("/instances/([^/?]+)/(heartbeat|deregister)");
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final Header JSON = new Header("Content-Type", "application/json");

    private final InstanceRouter router;
    private final EventLog log;

    HeartbeatEndpoint(InstanceRouter router, EventLog log) {
        this.router = router;
        this.log = log;
    }

    @Override
    public Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        Matcher path = PATH.matcher(request.target());
        if (!path.matches()) {
            responder.respond(HttpExchange.Response.empty(NOT_FOUND));
            return Cancellable.NONE;
        }
        try {
            if (path.group(2).equals("heartbeat")) {
                HeartbeatCodec.ReceivedHeartbeat received = HeartbeatCodec.read(path.group(1), request.body());
                router.onHeartbeat(
                        received.heartbeat(),
                        received.address(),
                        reply -> responder.respond(json(HeartbeatCodec.write(reply))),
                        refusal -> refuse(path.group(1), refusal, responder));
            } else {
                router.onDeregister(
                        TargetName.of(path.group(1)),
                        () -> responder.respond(json("{}")),
                        refusal -> refuse(path.group(1), refusal, responder));
            }
        } catch (SiskindykeException e) {
            refuse(path.group(1), e, responder);
        }
        return Cancellable.NONE;
    }

    /**
     * Refuses a message: one that names no backend server to use, after which what is known of others holds, or one
     * that could not be recorded in time, which the backend server repeats.
     */
    private void refuse(String target, SiskindykeException cause, HttpExchange.Responder responder) {
        boolean unrecorded = cause.code() == ErrorCode.TABLE_UNAVAILABLE;
        log.event(
                unrecorded ? "departure-not-acknowledged" : "heartbeat-malformed",
                "target",
                target,
                "code",
                cause.code(),
                "cause",
                cause.getMessage());
        responder.respond(HttpExchange.Response.empty(unrecorded ? UNAVAILABLE : BAD_REQUEST));
    }

    private static HttpExchange.Response json(String body) {
        return new HttpExchange.Response(OK, List.of(JSON), body.getBytes(StandardCharsets.UTF_8));
    }
}
