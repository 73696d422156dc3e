package org.siskindyke.runtime.peer;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.math.LongMath;
import org.siskindyke.kernel.balance.ServerLoad;
import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.control.PeerMessenger;
import org.siskindyke.kernel.crash.CrashEvidence;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.SuspectDigest;
import org.siskindyke.kernel.crash.SuspectReport;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.place.EvacuationOrder;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.wire.ForwardRequest;
import org.siskindyke.wire.ForwardResponse;
import org.siskindyke.wire.GossipRequest;
import org.siskindyke.wire.GossipResponse;
import org.siskindyke.wire.LoadRequest;
import org.siskindyke.wire.LoadResponse;
import org.siskindyke.wire.ReleaseRequest;
import org.siskindyke.wire.RenewRequest;
import org.siskindyke.wire.RenewResponse;
import org.siskindyke.wire.WireCrash;
import org.siskindyke.wire.WireDelta;
import org.siskindyke.wire.WireEvacuation;
import org.siskindyke.wire.WireHeader;
import org.siskindyke.wire.WireLoad;
import org.siskindyke.wire.WireRow;
import org.siskindyke.wire.WireSuspect;

/**
 * Converts between the kernel's messages and their wire form. A message that lacks a field or has an unknown enum name
 * fails with {@code INVALID_REQUEST}.
 */
public final class WireMapper {
    private static final int NO_SLICE = -1;

    private WireMapper() {}

    static RenewRequest toWire(PeerMessenger.Renewal renewal) {
        RenewRequest wire = new RenewRequest();
        wire.setMember(renewal.member().value());
        wire.setEpoch(renewal.epoch());
        wire.setSequence(renewal.sequence());
        wire.setProbe(renewal.probe());
        return wire;
    }

    static PeerMessenger.Renewal fromWire(RenewRequest wire) {
        return new PeerMessenger.Renewal(
                MemberId.of(wire.getMember()), wire.getEpoch(), wire.getSequence(), wire.isProbe());
    }

    static RenewResponse toWire(PeerMessenger.RenewalReply reply) {
        RenewResponse wire = new RenewResponse();
        wire.setSequence(reply.sequence());
        wire.setGranted(reply.decision().isGranted());
        wire.setReason(reply.decision().name());
        wire.setLeaseMillis(reply.leaseMillis());
        return wire;
    }

    static PeerMessenger.RenewalReply fromWire(RenewResponse wire) {
        return new PeerMessenger.RenewalReply(
                wire.getSequence(), parseEnum(GrantDecision.class, wire.getReason()), wire.getLeaseMillis());
    }

    static GossipRequest toRequest(PeerMessenger.Gossip gossip) {
        GossipRequest wire = new GossipRequest();
        wire.setMember(gossip.member().value());
        wire.setTableVersion(gossip.tableVersion());
        wire.setDelta(toWire(gossip.changes()));
        wire.setConfigurationRevision(gossip.configurationRevision());
        if (gossip.configuration() != null) {
            wire.setConfiguration(gossip.configuration().text());
        }
        if (!gossip.suspectsDigest().equals(SuspectDigest.NONE)) {
            wire.setSuspectsDigest(gossip.suspectsDigest().buckets());
        }
        if (!gossip.suspects().isEmpty()) {
            wire.setSuspects(suspectsToWire(gossip.suspects()));
        }
        if (gossip.tableAgeMillis() != PeerMessenger.Gossip.UNKNOWN_AGE) {
            wire.setTableAgeMillis(gossip.tableAgeMillis());
        }
        if (!gossip.evacuations().isEmpty()) {
            wire.setEvacuations(evacuationsToWire(gossip.evacuations()));
        }
        return wire;
    }

    static PeerMessenger.Gossip fromWire(GossipRequest wire) {
        return new PeerMessenger.Gossip(
                MemberId.of(wire.getMember()),
                wire.getTableVersion(),
                fromWire(wire.getDelta()),
                wire.getConfigurationRevision(),
                toConfigurationText(wire.getConfigurationRevision(), wire.getConfiguration()),
                digestFromWire(wire.getSuspectsDigest()),
                suspectsFromWire(wire.getSuspects()),
                wire.isSetTableAgeMillis() ? wire.getTableAgeMillis() : PeerMessenger.Gossip.UNKNOWN_AGE,
                evacuationsFromWire(wire.getEvacuations()));
    }

    /** Converts the wire form of a digest; null, as sent by earlier versions and where nothing is known, is none. */
    private static SuspectDigest digestFromWire(List<Integer> buckets) {
        return buckets == null ? SuspectDigest.NONE : new SuspectDigest(buckets);
    }

    private static List<WireSuspect> suspectsToWire(List<SuspectReport> reports) {
        return reports.stream()
                .map(report -> new WireSuspect(
                        report.request().high(),
                        report.request().low(),
                        report.crashes().stream().map(WireMapper::toWire).toList()))
                .toList();
    }

    private static WireCrash toWire(CrashEvidence crash) {
        return new WireCrash(
                crash.target().target().value(),
                crash.target().startMillis(),
                crash.caller().value(),
                crash.ageMillis(),
                crash.cleared(),
                crash.alone());
    }

    /** Converts the wire form of evidence against requests; null, as sent by earlier versions, is none. */
    private static List<SuspectReport> suspectsFromWire(List<WireSuspect> wire) {
        return wire == null
                ? List.of()
                : wire.stream().map(WireMapper::fromWire).toList();
    }

    private static SuspectReport fromWire(WireSuspect wire) {
        return new SuspectReport(
                new RequestFingerprint(wire.getFingerprintHigh(), wire.getFingerprintLow()),
                wire.getCrashes().stream()
                        .map(crash -> new CrashEvidence(
                                new TargetIncarnation(TargetName.of(crash.getTarget()), crash.getStartMillis()),
                                ClientAccount.of(crash.getCaller()),
                                crash.isAlone(),
                                crash.getAgeMillis(),
                                crash.isCleared()))
                        .toList());
    }

    private static List<WireEvacuation> evacuationsToWire(List<EvacuationOrder> orders) {
        return orders.stream()
                .map(order -> new WireEvacuation(
                        order.domain().value(), order.era(), order.version(), order.evacuated(), order.ageMillis()))
                .toList();
    }

    /** Converts the wire form of evacuation orders; null, as sent by earlier versions, is none. */
    private static List<EvacuationOrder> evacuationsFromWire(List<WireEvacuation> wire) {
        return wire == null
                ? List.of()
                : wire.stream()
                        .map(order -> new EvacuationOrder(
                                FailureDomain.of(order.getDomain()),
                                order.getEra(),
                                order.getVersion(),
                                order.isEvacuated(),
                                order.getAgeMillis()))
                        .toList();
    }

    private static ConfigurationText toConfigurationText(long revision, String text) {
        return text == null ? null : new ConfigurationText(revision, text);
    }

    static GossipResponse toResponse(PeerMessenger.Gossip gossip) {
        GossipResponse wire = new GossipResponse();
        wire.setTableVersion(gossip.tableVersion());
        wire.setDelta(toWire(gossip.changes()));
        wire.setConfigurationRevision(gossip.configurationRevision());
        if (gossip.configuration() != null) {
            wire.setConfiguration(gossip.configuration().text());
        }
        if (!gossip.suspectsDigest().equals(SuspectDigest.NONE)) {
            wire.setSuspectsDigest(gossip.suspectsDigest().buckets());
        }
        if (!gossip.suspects().isEmpty()) {
            wire.setSuspects(suspectsToWire(gossip.suspects()));
        }
        if (gossip.tableAgeMillis() != PeerMessenger.Gossip.UNKNOWN_AGE) {
            wire.setTableAgeMillis(gossip.tableAgeMillis());
        }
        if (!gossip.evacuations().isEmpty()) {
            wire.setEvacuations(evacuationsToWire(gossip.evacuations()));
        }
        return wire;
    }

    static PeerMessenger.Gossip fromWire(MemberId sender, GossipResponse wire) {
        return new PeerMessenger.Gossip(
                sender,
                wire.getTableVersion(),
                fromWire(wire.getDelta()),
                wire.getConfigurationRevision(),
                toConfigurationText(wire.getConfigurationRevision(), wire.getConfiguration()),
                digestFromWire(wire.getSuspectsDigest()),
                suspectsFromWire(wire.getSuspects()),
                wire.isSetTableAgeMillis() ? wire.getTableAgeMillis() : PeerMessenger.Gossip.UNKNOWN_AGE,
                evacuationsFromWire(wire.getEvacuations()));
    }

    static ReleaseRequest toWire(PeerMessenger.Release release) {
        ReleaseRequest wire = new ReleaseRequest();
        wire.setServiceName(release.service().value());
        wire.setSlices(release.slices());
        wire.setToMember(release.newOwner().value());
        wire.setReason(release.reason());
        return wire;
    }

    static PeerMessenger.Release fromWire(ReleaseRequest wire) {
        return new PeerMessenger.Release(
                ServiceName.of(wire.getServiceName()),
                List.copyOf(wire.getSlices()),
                MemberId.of(wire.getToMember()),
                wire.getReason());
    }

    static LoadResponse toWire(Optional<TargetUsage> usage) {
        return usage.map(u -> new LoadResponse(true, u.callsPerSecond(), u.millisPerCall(), u.slots(), u.sliceCount()))
                .orElseGet(() -> new LoadResponse(false, 0, 0, 0, 0));
    }

    static Optional<TargetUsage> fromWire(LoadResponse wire) {
        return wire.isKnown()
                ? Optional.of(new TargetUsage(
                        wire.getCallsPerSecond(), wire.getMillisPerCall(), wire.getSlots(), wire.getSliceCount()))
                : Optional.empty();
    }

    /** Converts changes of the table to their wire form. */
    public static WireDelta toWire(TableChanges changes) {
        WireDelta wire = new WireDelta();
        wire.setUpToVersion(changes.upToVersion());
        wire.setRows(changes.rows().stream().map(WireMapper::toWire).toList());
        if (changes.sinceVersion() != TableChanges.UNKNOWN) {
            wire.setSinceVersion(changes.sinceVersion());
        }
        return wire;
    }

    private static WireRow toWire(Row row) {
        return new WireRow(row.path().value(), row.revision(), row.value(), row.deleted());
    }

    /** Converts the wire form of changes of the table. */
    public static TableChanges fromWire(WireDelta wire) {
        List<Row> rows = wire.getRows().stream()
                .map(r -> new Row(RowPath.of(r.getPath()), r.getVersion(), r.getValue(), r.isDeleted()))
                .toList();
        long sinceVersion = wire.isSetSinceVersion() ? wire.getSinceVersion() : TableChanges.UNKNOWN;
        // Nobody relies on gossip for all changes, so whether a peer has more does not matter.
        return new TableChanges(wire.getUpToVersion(), rows, sinceVersion, false);
    }

    /**
     * Converts a call to its wire form; its points in time become durations from {@code nowMillis}.
     *
     * @param call the call
     * @param to the member whose router is to dispatch the call; {@link PeerServer} refuses a call to another member
     * @param hops number of routers that the call has passed; no receiver reads it
     * @param nowMillis the sender's monotonic clock
     * @return the wire form
     */
    public static ForwardRequest toWire(Call call, MemberId to, int hops, long nowMillis) {
        ForwardRequest wire = new ForwardRequest();
        wire.setCallId(call.id());
        wire.setCaller(call.caller().value());
        wire.setServiceName(call.service().value());
        wire.setSliceIndex(call.slice() == null ? NO_SLICE : call.slice().index());
        wire.setKey(call.key() == null ? "" : call.key());
        wire.setMethod(call.method());
        wire.setTarget(call.target());
        wire.setHeaders(toWire(call.headers()));
        wire.setBody(call.body());
        wire.setRemainingMillis(call.remainingMillis(nowMillis));
        wire.setHops(hops);
        wire.setPriority(call.scheduling().priority());
        wire.setIdempotent(call.idempotent());
        wire.setObjectiveMillis(LongMath.saturatedSubtract(call.scheduling().objectiveMillis(), nowMillis));
        wire.setNested(call.scheduling().nested());
        wire.setMovable(call.scheduling().movable());
        wire.setKind(call.scheduling().kind());
        wire.setSuspected(call.scheduling().suspected());
        if (call.scheduling().returning()) {
            wire.setReturning(true);
        }
        wire.setToMember(to.value());
        return wire;
    }

    /**
     * Converts the wire form of a call.
     *
     * @param wire the wire form; its field {@code idempotent} is not read here
     * @param idempotent whether the call may run more than once; {@link PeerServer} decides it by the service's
     *     document, {@link org.siskindyke.runtime.traffic.PeerNetwork} takes it from the wire form
     * @param nowMillis the receiver's monotonic clock, from which the durations in the wire form count
     * @return the call
     */
    public static Call fromWire(ForwardRequest wire, boolean idempotent, long nowMillis) {
        ServiceName service = ServiceName.of(wire.getServiceName());
        boolean divided = wire.getSliceIndex() != NO_SLICE;
        return new Call(
                wire.getCallId(),
                wire.getCaller() == null ? ClientAccount.UNKNOWN : ClientAccount.of(wire.getCaller()),
                service,
                wire.getKey().isEmpty() ? null : wire.getKey(),
                divided ? new SliceRef(service, wire.getSliceIndex()) : null,
                wire.getMethod(),
                wire.getTarget(),
                fromWire(wire.getHeaders()),
                wire.getBody(),
                nowMillis + wire.getRemainingMillis(),
                idempotent,
                new SchedulingAttributes(
                        wire.getKind() == null ? "" : wire.getKind(),
                        wire.getPriority(),
                        LongMath.saturatedAdd(nowMillis, wire.getObjectiveMillis()),
                        wire.isNested(),
                        wire.isMovable(),
                        wire.isSuspected(),
                        wire.isReturning()));
    }

    /** Converts the outcome of a call to its wire form. */
    public static ForwardResponse toWire(String callId, Reply reply) {
        ForwardResponse wire = new ForwardResponse();
        wire.setCallId(callId);
        wire.setStatus(reply.status());
        wire.setHeaders(toWire(reply.headers()));
        wire.setBody(reply.body());
        wire.setVerdict(reply.verdict().ordinal());
        wire.setRetryAfterMillis(reply.retryAfterMillis());
        if (reply.refusal() != null) {
            wire.setCode(reply.refusal().name());
        }
        if (reply.owner() != null) {
            wire.setOwnerHint(reply.owner().value());
            wire.setGenerationHint(reply.generation());
        }
        if (reply.load() != null) {
            wire.setLoad(toWire(reply.load()));
        }
        return wire;
    }

    /** Converts the wire form of the outcome of a call. */
    public static Reply fromWire(ForwardResponse wire) {
        int verdict = wire.getVerdict();
        if (verdict < 0 || verdict >= Verdict.values().length) {
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "unknown verdict " + verdict);
        }
        return new Reply(
                wire.getStatus(),
                fromWire(wire.getHeaders()),
                ByteBuffer.wrap(wire.getBody()).array(),
                Verdict.values()[verdict],
                wire.isSetCode() ? parseEnum(Refusal.class, wire.getCode()) : null,
                wire.getRetryAfterMillis(),
                wire.isSetOwnerHint() ? MemberId.of(wire.getOwnerHint()) : null,
                wire.getGenerationHint(),
                wire.isSetLoad() ? fromWire(wire.getLoad()) : null);
    }

    private static WireLoad toWire(TargetLoadReport load) {
        WireLoad wire =
                new WireLoad(load.slots(), load.busy(), load.waiting(), load.millisPerCall(), load.intervalMillis());
        ServerLoad server = load.server();
        if (server != null) {
            wire.setServerRunning(server.running());
            wire.setServerWaiting(server.waiting());
            wire.setServerSlots(server.slots());
            wire.setServerSlownessPercent(server.slownessPercent());
        }
        return wire;
    }

    private static TargetLoadReport fromWire(WireLoad load) {
        // Routers of earlier versions send none of the server's fields, and this one sends all or none.
        boolean announced = load.isSetServerRunning()
                && load.isSetServerWaiting()
                && load.isSetServerSlots()
                && load.isSetServerSlownessPercent();
        ServerLoad server = announced
                ? new ServerLoad(
                        load.getServerRunning(),
                        load.getServerWaiting(),
                        load.getServerSlots(),
                        load.getServerSlownessPercent())
                : null;
        return new TargetLoadReport(
                load.getSlots(),
                load.getBusy(),
                load.getWaiting(),
                load.getMillisPerCall(),
                load.getIntervalMillis(),
                server);
    }

    /** Converts header fields to their wire form. */
    public static List<WireHeader> toWire(List<Header> headers) {
        return headers.stream().map(h -> new WireHeader(h.name(), h.value())).toList();
    }

    private static List<Header> fromWire(List<WireHeader> headers) {
        return headers.stream().map(h -> new Header(h.getName(), h.getValue())).toList();
    }

    private static <E extends Enum<E>> E parseEnum(Class<E> type, String name) {
        try {
            return Enum.valueOf(type, name);
        } catch (IllegalArgumentException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST, "unknown " + type.getSimpleName() + " '" + name + "'", e);
        }
    }

    /** Converts a message; one that lacks a field fails with a code, too. */
    private static <T> T read(Supplier<T> conversion) {
        try {
            return conversion.get();
        } catch (SiskindykeException e) {
            throw e;
        } catch (RuntimeException e) {
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "message is incomplete: " + e.getMessage(), e);
        }
    }

    /** Encodes a renewal. */
    public static byte[] encode(PeerMessenger.Renewal renewal) {
        return WireCodec.encode(toWire(renewal));
    }

    /** Decodes a renewal. */
    public static PeerMessenger.Renewal decodeRenewal(byte[] bytes) {
        return read(() -> fromWire(WireCodec.decode(bytes, new RenewRequest())));
    }

    /** Encodes the reply to a renewal. */
    public static byte[] encode(PeerMessenger.RenewalReply reply) {
        return WireCodec.encode(toWire(reply));
    }

    /** Decodes the reply to a renewal. */
    public static PeerMessenger.RenewalReply decodeRenewalReply(byte[] bytes) {
        return read(() -> fromWire(WireCodec.decode(bytes, new RenewResponse())));
    }

    /** Encodes a gossip request. */
    public static byte[] encodeGossipRequest(PeerMessenger.Gossip gossip) {
        return WireCodec.encode(toRequest(gossip));
    }

    /** Decodes a gossip request. */
    public static PeerMessenger.Gossip decodeGossip(byte[] bytes) {
        return read(() -> fromWire(WireCodec.decode(bytes, new GossipRequest())));
    }

    /** Encodes a gossip response. */
    public static byte[] encodeGossipResponse(PeerMessenger.Gossip gossip) {
        return WireCodec.encode(toResponse(gossip));
    }

    /** Decodes a gossip response, which does not name its sender. */
    public static PeerMessenger.Gossip decodeGossip(MemberId sender, byte[] bytes) {
        return read(() -> fromWire(sender, WireCodec.decode(bytes, new GossipResponse())));
    }

    /** Encodes a request to release slices. */
    public static byte[] encode(PeerMessenger.Release release) {
        return WireCodec.encode(toWire(release));
    }

    /** Decodes a request to release slices. */
    public static PeerMessenger.Release decodeRelease(byte[] bytes) {
        return read(() -> fromWire(WireCodec.decode(bytes, new ReleaseRequest())));
    }

    /** Encodes a request for the usage of a service's target. */
    public static byte[] encodeUsageRequest(ServiceName service) {
        return WireCodec.encode(new LoadRequest(service.value()));
    }

    /** Decodes a request for the usage of a service's target, and returns the service. */
    public static ServiceName decodeUsageRequest(byte[] bytes) {
        return read(
                () -> ServiceName.of(WireCodec.decode(bytes, new LoadRequest()).getServiceName()));
    }

    /** Encodes the usage of a target; empty if the member has none. */
    public static byte[] encode(Optional<TargetUsage> usage) {
        return WireCodec.encode(toWire(usage));
    }

    /** Decodes the usage of a target; empty if the member has none. */
    public static Optional<TargetUsage> decodeUsage(byte[] bytes) {
        return read(() -> fromWire(WireCodec.decode(bytes, new LoadResponse())));
    }
}
