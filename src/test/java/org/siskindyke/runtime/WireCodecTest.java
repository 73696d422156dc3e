package org.siskindyke.runtime;

import java.util.Arrays;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.runtime.peer.WireMapper;
import org.siskindyke.wire.ForwardRequest;
import org.siskindyke.wire.GossipRequest;
import org.siskindyke.wire.WireDelta;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

    private static void assertDecodesOrIsInvalidRequest(byte[] bytes) {
        try {
            WireCodec.decode(bytes, new ForwardRequest());
            WireCodec.decode(bytes, new GossipRequest());
        } catch (SiskindykeException e) {
            assertEquals(ErrorCode.INVALID_REQUEST, e.code());
        }
    }
}
