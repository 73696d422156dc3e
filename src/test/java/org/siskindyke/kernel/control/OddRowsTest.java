package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.OddJson;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Applies rows of other programs to a view beside those of two members. */
class OddRowsTest {
    private static final ServiceName SERVICE = FakeWorld.SERVICE;
    private static final MemberId FIRST = MemberId.of("a:1");
    private static final MemberId SECOND = MemberId.of("b:1");

    private final Map<RowPath, String> ignored = new HashMap<>();
    private final List<Row> good = List.of(member(FIRST, 1), member(SECOND, 2), ownership(FIRST, 3, 0, 1));
    private ClusterView view;

    private static Row member(MemberId id, long revision) {
        MemberRow row = new MemberRow(
                id,
                InstanceName.of(id.value().substring(0, 1)),
                FailureDomain.of("d"),
                new MemberAddress("127.0.0.1", 1, 2, 3),
                MemberState.ALIVE,
                1,
                MemberId.TABLE,
                List.of(new TargetAnnouncement(SERVICE, TargetName.of("t"), "127.0.0.1", 4, true, true)),
                null,
                null,
                List.of());
        return new Row(RowPath.member(id), revision, RowCodec.encode(row), false);
    }

    private static Row ownership(MemberId owner, long revision, int... indexes) {
        List<OwnedSlice> slices = new ArrayList<>();
        for (int index : indexes) {
            slices.add(new OwnedSlice(index, 7, 0));
        }
        SliceOwnershipRow row = new SliceOwnershipRow(SERVICE, owner, slices);
        return new Row(row.path(), revision, RowCodec.encode(row), false);
    }

    private void start() {
        view = new ClusterView();
        ignored.clear();
        view.observeIgnored((path, cause) -> ignored.merge(path, cause.getMessage(), (a, b) -> a + " and " + b));
        view.acceptDocument(Documents.divided(SERVICE, 4, 1_000), 1, 0);
        view.apply(new TableChanges(3, good), 0);
    }

    private void assertOthersHold(RowPath odd) {
        for (MemberId id : List.of(FIRST, SECOND)) {
            MemberRow member = view.members().serving(id).orElseThrow();
            assertEquals(
                    RowPath.member(id).equals(odd)
                            ? member
                            : RowCodec.decode(good.get(id == FIRST ? 0 : 1), MemberRow.class),
                    member);
        }
        assertTrue(view.ownership().owner(new SliceRef(SERVICE, 0)).isPresent());
    }

    /** Guards against a member that stops following the table since one row cannot be read. */
    @Example
    void anUnreadableRowIsLeftOutAloneAndTheRowsBesideItApply() {
        for (String value : List.of("", "{}", "null", "[]", "7", "{", "[".repeat(20_000), "\u0000")) {
            start();
            RowPath none = RowPath.of("members/none");
            view.apply(new TableChanges(9, List.of(new Row(none, 8, value, false), member(MemberId.of("c:1"), 9))), 0);
            assertEquals(1, ignored.size(), value);
            assertTrue(ignored.containsKey(none), value);
            assertTrue(view.members().serving(MemberId.of("c:1")).isPresent(), value);
            assertEquals(3, view.members().serving().size(), value);
            assertEquals(9, view.replica().version(), value);
        }
    }

    /** A member's row that another program has overwritten keeps its last readable value, and can be replaced. */
    @Example
    void anOverwrittenRowKeepsItsValueAtTheNewRevision() {
        start();
        view.apply(new TableChanges(9, List.of(new Row(RowPath.member(FIRST), 9, "{}", false))), 0);
        assertTrue(view.members().serving(FIRST).isPresent());
        assertEquals(9, view.revision(RowPath.member(FIRST)));
    }

    /** Guards against a member's row under another's name, and two owners of a slice, which stop the rows after it. */
    @Example
    void aCopyOfATrueRowUnderAnotherNameIsLeftOut() {
        start();
        RowPath copy = RowPath.sliceOwnership(SERVICE, SECOND);
        view.apply(
                new TableChanges(
                        11,
                        List.of(
                                new Row(
                                        RowPath.member(MemberId.of("x:1")),
                                        9,
                                        good.get(0).value(),
                                        false),
                                new Row(copy, 10, good.get(2).value(), false),
                                ownership(SECOND, 11, 2))),
                0);
        assertEquals(2, ignored.size());
        assertEquals(
                FIRST,
                view.ownership().owner(new SliceRef(SERVICE, 0)).orElseThrow().member());
        assertEquals(
                SECOND,
                view.ownership().owner(new SliceRef(SERVICE, 2)).orElseThrow().member());
    }

    /** Any odd variant of a true row is read or left out with one reason; the rows of others hold. */
    @Property(tries = 3_000, seed = "71")
    void anOddRowChangesNothingButItself(@ForAll long seed) {
        Random random = new Random(seed);
        start();
        Row before = good.get(random.nextInt(good.size()));
        Row odd = new Row(before.path(), 9, OddJson.of(before.value(), random), false);
        view.apply(new TableChanges(9, List.of(odd)), 0);
        assertTrue(ignored.size() <= 1 && ignored.keySet().stream().allMatch(odd.path()::equals), ignored::toString);
        assertOthersHold(odd.path());
    }
}
