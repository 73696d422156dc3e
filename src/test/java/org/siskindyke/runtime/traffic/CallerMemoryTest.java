package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CallerMemoryTest {
    private static final long MAX_BYTES = 4_000_000;
    private static final long LIGHT_BYTES = 10_000;

    private long nowMillis = 1_000_000;
    private final CallerMemory memory = new CallerMemory(() -> nowMillis, MAX_BYTES);
    private final List<FakeHolder> shed = new ArrayList<>();

    /** Holds bytes and gives up all of them. */
    private final class FakeHolder implements CallerMemory.Holder {
        private final CallerMemory.Share share = memory.open(this);
        private final long sinceMillis = nowMillis;
        private final boolean sheddable;

        private FakeHolder(boolean sheddable) {
            this.sheddable = sheddable;
        }

        @Override
        public long sheddableBytes() {
            return sheddable ? share.bytes() : 0;
        }

        @Override
        public long waitingSinceMillis() {
            return sinceMillis;
        }

        @Override
        public void shed() {
            shed.add(this);
            share.end();
        }
    }

    private FakeHolder holder(long bytes) {
        FakeHolder holder = new FakeHolder(true);
        assertTrue(holder.share.resize(bytes));
        return holder;
    }

    /** Guards against ordinary requests that are refused while others hold much more for longer. */
    @Example
    void theOneThatHoldsMostForLongestGivesWay() {
        FakeHolder old = holder(1_200_000);
        FakeHolder small = holder(LIGHT_BYTES);
        nowMillis += 2_000;
        FakeHolder young = holder(1_700_000);
        nowMillis += 100;
        FakeHolder asker = holder(500_000);
        assertEquals(List.of(old), shed);
        assertEquals(LIGHT_BYTES + 1_700_000 + 500_000, memory.usedBytes());
        assertEquals(young.share.bytes() + small.share.bytes() + asker.share.bytes(), memory.usedBytes());
        assertEquals(1, memory.shed());
    }

    /** Guards against callers that drive out others in turn by asking for more than each of them holds. */
    @Example
    void theOneThatAsksForMostGetsNothingAndNobodyGivesWayInVain() {
        holder(1_000_000);
        holder(1_000_000);
        FakeHolder asker = holder(LIGHT_BYTES);
        assertFalse(asker.share.resize(MAX_BYTES));
        assertEquals(LIGHT_BYTES, asker.share.bytes());
        assertEquals(List.of(), shed);
        assertEquals(1, memory.refused());
    }

    /** Guards against an account that large requests fill, which run and must not give way. */
    @Example
    void aPartIsKeptForThoseThatHoldLittle() {
        FakeHolder running = new FakeHolder(false);
        assertFalse(running.share.resize(MAX_BYTES));
        assertTrue(running.share.resize(MAX_BYTES / 4 * 3));
        FakeHolder another = new FakeHolder(false);
        assertFalse(another.share.resize(100_000));
        assertTrue(another.share.resize(LIGHT_BYTES));
    }

    /** Guards against memory that is counted twice or for ever, which would refuse all callers in the end. */
    @Example
    void everythingIsReturnedAndAnEndedShareCountsNothing() {
        FakeHolder first = holder(2_000_000);
        FakeHolder second = holder(LIGHT_BYTES);
        second.share.force(MAX_BYTES);
        assertEquals(List.of(), shed);
        first.share.end();
        first.share.force(5);
        assertFalse(first.share.resize(5));
        first.share.end();
        second.share.end();
        assertEquals(0, memory.usedBytes());
    }
}
