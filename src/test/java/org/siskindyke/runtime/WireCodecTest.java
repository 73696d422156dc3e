package org.siskindyke.runtime;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.runtime.peer.WireMapper;
import org.siskindyke.wire.ForwardRequest;
import org.siskindyke.wire.GossipRequest;
import org.siskindyke.wire.WireDelta;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WireCodecTest {
    @Property(tries = 200, seed = "61")
    void tableChangesAreEqualAfterEncodingAndDecoding(
            @ForAll @Size(max = 20) List<Long> revisions, @ForAll String value) {
        List<Row> rows = revisions.stream()
                .map(r -> new Row(RowPath.of("members/" + r), r, value, r % 2 == 0))
                .toList();
        TableChanges changes = new TableChanges(7, rows);
        byte[] bytes = WireCodec.encode(WireMapper.toWire(changes));
        assertEquals(changes, WireMapper.fromWire(WireCodec.decode(bytes, new WireDelta())));
    }

    @Property(tries = 1000, seed = "62")
    void anyBytesDecodeOrFailAsInvalidRequest(@ForAll byte[] bytes) {
        assertDecodesOrIsInvalidRequest(bytes);
    }

    @Property(tries = 500, seed = "63")
    void aTruncatedMessageDecodesOrFailsAsInvalidRequest(@ForAll String text, @ForAll int cut) {
        ForwardRequest request = new ForwardRequest();
        request.setCallId(text);
        request.setTarget(text);
        byte[] bytes = WireCodec.encode(request);
        assertDecodesOrIsInvalidRequest(Arrays.copyOf(bytes, Math.floorMod(cut, bytes.length)));
    }

    /** Guards against an overflow at a receiver whose clock is ahead of the sender's. */
    @Example
    void aCallThatIsNeverDueIsNotDueElsewhere() {
        Call call = new Call(
                "c1",
                ClientAccount.UNKNOWN,
                ServiceName.of("orders"),
                null,
                null,
                "GET",
                "/",
                List.of(),
                new byte[0],
                2_000,
                true,
                SchedulingAttributes.DEFAULT);
        ForwardRequest wire = WireMapper.toWire(call, MemberId.TABLE, 0, 1_000);
        assertTrue(WireMapper.fromWire(wire, true, 5_000).scheduling().objectiveMillis() > 1L << 60);
    }

    /** Guards against a caller that returns through another router than its target's and is taken for a new one. */
    @Example
    void aForwardedCallStillReturnsAfterARefusal() {
        SchedulingAttributes returning = new SchedulingAttributes("k", 1, 3_000, false, false, false, true);
        Call call = new Call(
                "c1",
                ClientAccount.UNKNOWN,
                ServiceName.of("orders"),
                null,
                null,
                "GET",
                "/",
                List.of(),
                new byte[0],
                2_000,
                true,
                returning);
        ForwardRequest wire = WireMapper.toWire(call, MemberId.TABLE, 0, 1_000);
        assertEquals(returning, WireMapper.fromWire(wire, true, 1_000).scheduling());
    }

    /** Messages of other routers with fields that are missing, doubled or of another type. */
    @Property(tries = 3_000, seed = "64")
    void anOddPeerMessageIsReadOrRefusedWithACode(@ForAll long seed) {
        Random random = new Random(seed);
        GossipRequest gossip = new GossipRequest();
        gossip.setMember("a:1");
        gossip.setDelta(
                WireMapper.toWire(new TableChanges(7, List.of(new Row(RowPath.of("members/a:1"), 3, "{}", false)))));
        byte[] bytes = WireCodec.encode(gossip);
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        for (Consumer<byte[]> decoder : List.<Consumer<byte[]>>of(
                WireMapper::decodeGossip,
                WireMapper::decodeRenewal,
                WireMapper::decodeRenewalReply,
                WireMapper::decodeRelease,
                WireMapper::decodeUsageRequest,
                WireMapper::decodeUsage)) {
            try {
                decoder.accept(bytes);
            } catch (SiskindykeException e) {
                assertTrue(e.code() != ErrorCode.INTERNAL);
            }
        }
    }

    private static void assertDecodesOrIsInvalidRequest(byte[] bytes) {
        try {
            WireCodec.decode(bytes, new ForwardRequest());
            WireCodec.decode(bytes, new GossipRequest());
        } catch (SiskindykeException e) {
            assertEquals(ErrorCode.INVALID_REQUEST, e.code());
        }
    }
}
