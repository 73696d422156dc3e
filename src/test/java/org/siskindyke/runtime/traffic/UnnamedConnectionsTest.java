package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;

class UnnamedConnectionsTest {
    @Example
    void theOldestConnectionIsClosedWhenThereAreTooManyButNoneThatWasNamed() {
        UnnamedConnections unnamed = new UnnamedConnections(2);
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            EmbeddedChannel channel = new EmbeddedChannel();
            channels.add(channel);
            unnamed.add(channel);
            if (i == 0) {
                unnamed.remove(channel);
            }
        }
        assertEquals(
                List.of(true, false, true, true),
                channels.stream().map(EmbeddedChannel::isOpen).toList());
    }
}
