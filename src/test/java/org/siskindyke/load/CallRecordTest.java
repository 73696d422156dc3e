package org.siskindyke.load;

import net.jqwik.api.Example;
import org.siskindyke.runtime.http.Json;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CallRecordTest {
    @Example
    void aRecordIsReadAsItWasWritten() {
        CallRecord record = new CallRecord("id", "haat", "k1", "GET", null, 1, 10, 20, 200, "RAN", null, true, false);
        assertEquals(record, Json.read(Json.write(record), CallRecord.class));
    }
}
