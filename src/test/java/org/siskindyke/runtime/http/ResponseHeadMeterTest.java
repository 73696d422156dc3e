package org.siskindyke.runtime.http;

import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ResponseHeadMeterTest {
    private static final int LIMIT = 100;

    private final AtomicInteger exceeded = new AtomicInteger();
    private final ResponseHeadMeter meter = new ResponseHeadMeter(LIMIT);

    ResponseHeadMeterTest() {
        meter.onExceeded(exceeded::incrementAndGet);
    }

    @Example
    void aHeaderSectionThatExceedsTheLimitIsReportedOnce() {
        meter.start();
        meter.onDataRead(LIMIT);
        assertEquals(0, exceeded.get());
        meter.onDataRead(1);
        meter.onDataRead(LIMIT);
        assertEquals(1, exceeded.get());
    }

    /** Guards against connections that are closed for the sum of all their responses. */
    @Example
    void eachResponseIsCountedOnItsOwn() {
        for (int i = 0; i < 3; i++) {
            meter.start();
            meter.onDataRead(LIMIT);
            meter.stop();
        }
        assertEquals(0, exceeded.get());
    }

    /** Guards against large bodies that are taken for header sections. */
    @Example
    void bytesOfTheBodyDoNotCount() {
        meter.start();
        meter.stop();
        meter.onDataRead(10 * LIMIT);
        assertEquals(0, exceeded.get());
    }
}
