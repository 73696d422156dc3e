package org.siskindyke.runtime.peer;

import java.util.function.Supplier;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.HttpServiceContext;
import org.apache.thrift.TBase;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.ControlThread;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.LocalDispatcher;
import org.siskindyke.runtime.call.MemberServingState;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.wire.ForwardRequest;
import org.siskindyke.wire.GossipRequest;
import org.siskindyke.wire.LoadRequest;
import org.siskindyke.wire.ReleaseRequest;
import org.siskindyke.wire.ReleaseResponse;
import org.siskindyke.wire.RenewRequest;
import org.siskindyke.wire.StatusResponse;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** Serves the requests of other routers: control messages on the control thread, forwarded calls on traffic threads. */
public final class PeerServer implements HttpService {
    private final MonotonicClock clock;
    private final ControlThread control;
    private final Supplier<Incarnation> incarnation;
    private final LocalDispatcher dispatcher;
    private final Supplier<String> status;

    /**
     * Creates the service.
     *
     * @param clock the clock
     * @param control the thread that owns the control state
     * @param incarnation returns the current incarnation of this router
     * @param dispatcher runs forwarded calls
     * @param status returns the status of this instance in JSON; called on the control thread
     */
    public PeerServer(
            MonotonicClock clock,
            ControlThread control,
            Supplier<Incarnation> incarnation,
            LocalDispatcher dispatcher,
            Supplier<String> status) {
        this.clock = clock;
        this.control = control;
        this.incarnation = incarnation;
        this.dispatcher = dispatcher;
        this.status = status;
    }

    @Override
    public Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        byte[] body = Bytes.of(request.payloadBody());
        return Single.defer(() -> handleMessage(request.path(), body))
                .map(message -> factory.ok().payloadBody(DEFAULT_ALLOCATOR.wrap(WireCodec.encode(message))))
                .onErrorReturn(failure -> Json.problem(factory, failure));
    }

    private Single<TBase<?, ?>> handleMessage(String path, byte[] body) {
        return switch (path) {
            case PeerPaths.RENEW -> {
                var renewal = WireMapper.fromWire(WireCodec.decode(body, new RenewRequest()));
                yield onControlThread(
                        () -> WireMapper.toWire(incarnation.get().controller().onRenewal(renewal)));
            }
            case PeerPaths.GOSSIP -> {
                var gossip = WireMapper.fromWire(WireCodec.decode(body, new GossipRequest()));
                yield onControlThread(() ->
                        WireMapper.toResponse(incarnation.get().controller().onGossip(gossip)));
            }
            case PeerPaths.RELEASE -> {
                var release = WireMapper.fromWire(WireCodec.decode(body, new ReleaseRequest()));
                yield onControlThread(() -> {
                    incarnation.get().controller().onRelease(release);
                    return new ReleaseResponse(true, "");
                });
            }
            case PeerPaths.LOAD -> {
                ServiceName service =
                        ServiceName.of(WireCodec.decode(body, new LoadRequest()).getServiceName());
                yield onControlThread(
                        () -> WireMapper.toWire(incarnation.get().controller().usage(service)));
            }
            case PeerPaths.FORWARD -> forward(WireCodec.decode(body, new ForwardRequest()));
            case PeerPaths.STATUS -> onControlThread(() -> new StatusResponse(status.get()));
            default -> Single.failed(new IllegalArgumentException(HttpResponseStatus.NOT_FOUND.toString()));
        };
    }

    private Single<TBase<?, ?>> onControlThread(Supplier<TBase<?, ?>> handler) {
        return Single.fromStage(control.submit(handler));
    }

    private Single<TBase<?, ?>> forward(ForwardRequest wire) {
        MemberServingState state = incarnation.get().servingState();
        Single<Reply> reply = state.self().value().equals(wire.getToMember())
                ? dispatcher.dispatch(toCall(wire, state), state)
                : Single.succeeded(Reply.notRun(Refusal.NOT_OWNER, 0));
        return reply.map(r -> WireMapper.toWire(wire.getCallId(), r));
    }

    private Call toCall(ForwardRequest wire, MemberServingState state) {
        boolean idempotent = state.view()
                .documents()
                .get(ServiceName.of(wire.getServiceName()))
                .map(AcceptedDocument::document)
                .map(d -> d.calls().isIdempotent(wire.getMethod(), pathOf(wire.getTarget())))
                .orElse(false);
        return WireMapper.fromWire(wire, idempotent, clock.nowMillis());
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
