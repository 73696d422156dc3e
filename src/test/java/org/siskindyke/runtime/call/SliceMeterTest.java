package org.siskindyke.runtime.call;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SliceMeterTest {
    private static final ServiceName SERVICE = ServiceName.of("haat");
    private static final int SLICES = 512;

    /** Guards against a rate that is several times too high where each of many slices gets a call now and then. */
    @Example
    void theRateOfManySlicesWithFewCallsIsThatOfTheCalls() {
        long[] nowMillis = new long[1];
        SliceMeter meter = new SliceMeter(() -> nowMillis[0], service -> OptionalInt.of(4));
        List<Integer> owned = IntStream.range(0, SLICES).boxed().toList();
        Random random = new Random(1);
        double sum = 0;
        for (int second = 0; second < 60; second++) {
            for (int call = 0; call < 10; call++) {
                meter.onCall(new SliceRef(SERVICE, random.nextInt(SLICES)), 1_000_000);
            }
            nowMillis[0] += 1_000;
            meter.updateAverages();
            sum += second < 30 ? 0 : meter.usage(SERVICE, owned).orElseThrow().callsPerSecond();
        }
        assertEquals(10, sum / 30, 0.5);
    }
}
