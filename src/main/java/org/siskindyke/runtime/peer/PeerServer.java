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
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.call.MemberServingState;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.wire.ForwardRequest;
import org.siskindyke.wire.GossipRequest;
import org.siskindyke.wire.LoadRequest;
import org.siskindyke.wire.ReleaseRequest;
import org.siskindyke.wire.ReleaseResponse;
import org.siskindyke.wire.RenewRequest;
import org.siskindyke.wire.StatusResponse;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** Answers other routers. Control messages are answered by the control thread, calls by traffic threads. */
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
     * @param control owns the control state
     * @param incarnation gives the present member
     * @param dispatcher runs calls
     * @param status describes this instance in JSON; called on the control thread
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
        return Single.defer(() -> answer(request.path(), body))
                .map(message -> factory.ok().payloadBody(DEFAULT_ALLOCATOR.wrap(WireCodec.encode(message))))
                .onErrorReturn(failure -> Json.problem(factory, failure));
    }

    private Single<TBase<?, ?>> answer(String path, byte[] body) {
        return switch (path) {
            case PeerPaths.RENEW -> {
                var renewal = WireMapper.fromWire(WireCodec.decode(body, new RenewRequest()));
                yield ask(() -> WireMapper.toWire(incarnation.get().controller().onRenewal(renewal)));
            }
            case PeerPaths.GOSSIP -> {
                var gossip = WireMapper.fromWire(WireCodec.decode(body, new GossipRequest()));
                yield ask(() -> WireMapper.toResponse(incarnation.get().controller().onGossip(gossip)));
            }
            case PeerPaths.RELEASE -> {
                var release = WireMapper.fromWire(WireCodec.decode(body, new ReleaseRequest()));
                yield ask(() -> {
                    incarnation.get().controller().onRelease(release);
                    return new ReleaseResponse(true, "");
                });
            }
            case PeerPaths.LOAD -> {
                ServiceName service =
                        ServiceName.of(WireCodec.decode(body, new LoadRequest()).getServiceName());
                yield ask(() -> WireMapper.toWire(incarnation.get().controller().usage(service)));
            }
            case PeerPaths.FORWARD -> forward(WireCodec.decode(body, new ForwardRequest()));
            case PeerPaths.STATUS -> ask(() -> new StatusResponse(status.get()));
            default -> Single.failed(new IllegalArgumentException(HttpResponseStatus.NOT_FOUND.toString()));
        };
    }

    private Single<TBase<?, ?>> ask(Supplier<TBase<?, ?>> question) {
        return Single.fromStage(control.submit(question));
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
