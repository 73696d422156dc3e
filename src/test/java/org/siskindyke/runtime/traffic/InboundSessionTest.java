package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class InboundSessionTest {
    private static final long MAX_BYTES = 12_000_000;
    private static final int REPLIES = 100;
    private static final int REPLY_BYTES = 1_000_000;
    private static final int WAIT_SECONDS = 20;

    private final TrafficLoop traffic = new TrafficLoop();
    private final CallerMemory memory = new CallerMemory(() -> 0, MAX_BYTES);

    @AfterTry
    void closeLoop() {
        traffic.close();
    }

    /** Guards against a router that runs out of direct memory as another one stands still. */
    @Example
    void longRepliesToARouterThatDoesNotReadAreBounded() throws Exception {
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        ChannelInitializer<Channel> initializer = new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new PeerFrameCodec());
                accepted.complete(channel);
            }
        };
        Channel listening = traffic.listen(new InetSocketAddress("127.0.0.1", 0), initializer, ConnectionLimits.PEERS);
        InetSocketAddress address = (InetSocketAddress) listening.localAddress();
        try (Socket reader = new Socket(address.getAddress(), address.getPort())) {
            Channel channel = accepted.get(WAIT_SECONDS, TimeUnit.SECONDS);
            CompletableFuture<Long> waitingBytes = new CompletableFuture<>();
            traffic.execute(() -> waitingBytes.complete(sendReplies(channel)));
            long bytes = waitingBytes.get(WAIT_SECONDS, TimeUnit.SECONDS);
            assertTrue(bytes <= MAX_BYTES, () -> bytes + " bytes wait");
        }
        CompletableFuture<Long> usedBytes = new CompletableFuture<>();
        accepted.get()
                .closeFuture()
                .addListener(closed -> traffic.execute(() -> usedBytes.complete(memory.usedBytes())));
        assertEquals(0, usedBytes.get(WAIT_SECONDS, TimeUnit.SECONDS), "memory is not returned");
    }

    private long sendReplies(Channel channel) {
        InboundSession session = new InboundSession(channel, memory);
        for (int id = 1; id <= REPLIES; id++) {
            session.reply(new PeerFrame(PeerFrame.Kind.FORWARD_REPLY, id, new byte[REPLY_BYTES]), 0);
        }
        return channel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }
}
