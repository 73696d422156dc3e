package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import jdk.net.ExtendedSocketOptions;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.SystemMonotonicClock;

/** The event loop that handles all traffic in one thread, and opens its sockets. */
public final class TrafficLoop implements AutoCloseable {
    /** Delay of the loop from which on senders may have given up what is read now. */
    public static final long BEHIND_MILLIS = 150;

    /** How long sent bytes may stay unacknowledged before the connection is closed; about three heartbeats. */
    private static final int UNACKNOWLEDGED_TIMEOUT_MILLIS = 2_500;
    /** Idle time before the first TCP keep-alive probe of a connection, and time between probes. */
    private static final int KEEPALIVE_PROBE_SECONDS = 1;

    /** Failed keep-alive probes after which a connection is closed. */
    private static final int KEEPALIVE_PROBES = 3;
    /** Longest time to connect; within a region it takes a few milliseconds, and a lost packet adds up to 200 ms. */
    private static final int CONNECT_TIMEOUT_MILLIS = 600;

    private static final String OUT_OF_MEMORY = "event=out-of-memory during a periodic task of the traffic loop";

    /** Times that a connection is read before others get their turn; Netty's own default for sockets. */
    private static final int MESSAGES_PER_READ = 16;
    /**
     * Interval at which the delay of the loop is measured and repeated actions that are due run. One timer for all of
     * them lets an idle loop wake up 20 times per second in all, and not as often for each action.
     */
    private static final long TICK_MILLIS = 50;

    private final boolean usesEpoll;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final LoopDelay delay;
    private final RepeatedActions repeated = new RepeatedActions(TICK_MILLIS);
    private final CallerMemory callerMemory;

    /** Creates a loop on the native transport, or on Java's selector where the machine has no native library. */
    public TrafficLoop() {
        this(Epoll.isAvailable(), SystemMonotonicClock.INSTANCE);
    }

    /** Creates a loop on the native transport or on Java's selector. */
    TrafficLoop(boolean usesEpoll) {
        this(usesEpoll, SystemMonotonicClock.INSTANCE);
    }

    /** Creates a loop as above; the clock measures its delay. */
    TrafficLoop(boolean usesEpoll, MonotonicClock clock) {
        this.usesEpoll = usesEpoll;
        this.group = usesEpoll ? new EpollEventLoopGroup(1) : new NioEventLoopGroup(1);
        this.loop = group.next();
        this.callerMemory = new CallerMemory(clock);
        this.delay = new LoopDelay(clock, TICK_MILLIS);
        loop.scheduleWithFixedDelay(
                () -> runThoughOutOfMemory(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        delay.onCheck();
        repeated.onTick(failure -> System.getLogger(TrafficLoop.class.getName())
                .log(System.Logger.Level.ERROR, "event=repeated-action-failed", failure));
    }

    /** Returns the name of the transport: {@code epoll}, or {@code nio} for Java's selector. */
    public String transport() {
        return usesEpoll ? "epoll" : "nio";
    }

    /** Returns the account of the memory that is held for callers. It is confined to the loop. */
    public CallerMemory callerMemory() {
        return callerMemory;
    }

    /** Returns the event loop. */
    public EventLoop loop() {
        return loop;
    }

    /** Runs an action on the loop. May be called on any thread. */
    public void execute(Runnable action) {
        loop.execute(action);
    }

    /**
     * Runs an action that a message has caused: at once, or, if the loop is behind, after it has read what else has
     * arrived, which may say that the sender has given up. Called on the loop.
     */
    void executeOnceRead(Runnable action) {
        if (delay.nowMillis() < BEHIND_MILLIS) {
            action.run();
        } else {
            loop.execute(action);
        }
    }

    /** Returns by how much the loop was late at most since the last call of this method. Called on the loop. */
    public long takeMaxDelayMillis() {
        return delay.takeMaxMillis();
    }

    /**
     * Runs an action on the loop after a delay, or at once if the delay is negative. May be called on any thread.
     *
     * @return cancels the action if it has not started
     */
    public Cancellable schedule(Runnable action, long delayMillis) {
        ScheduledFuture<?> future = loop.schedule(action, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    /**
     * Runs an action on the loop repeatedly, at an interval that is rounded up to a multiple of 50 ms. If a run throws
     * an exception, it is logged and there are no further runs; if it runs out of memory, this is logged and there are,
     * since the router would go on without its timers otherwise. May be called on any thread.
     */
    public void scheduleWithFixedDelay(Runnable action, long intervalMillis) {
        loop.execute(() -> repeated.add(() -> runThoughOutOfMemory(action), intervalMillis));
    }

    private static void runThoughOutOfMemory(Runnable action) {
        try {
            action.run();
        } catch (OutOfMemoryError e) {
            // Preallocated text, since there may be no memory for any other.
            System.err.println(OUT_OF_MEMORY);
        }
    }

    /**
     * Opens a listening socket. Blocks until it is bound, so it must not be called on the loop.
     *
     * @param address the address to bind
     * @param handler sets up each connection
     * @param limits what the kernel holds for the socket; the number of accepted connections is up to {@code handler}
     * @return the listening channel
     * @throws SiskindykeException with code {@code ADDRESS_UNAVAILABLE}
     */
    Channel listen(InetSocketAddress address, ChannelHandler handler, ConnectionLimits limits) {
        ServerBootstrap bootstrap = newServer(handler)
                .option(ChannelOption.SO_BACKLOG, limits.waiting())
                // A window that was announced stays, so the buffer is set before connections are accepted.
                .option(ChannelOption.SO_RCVBUF, limits.receiveBufferBytes());
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new SiskindykeException(ErrorCode.ADDRESS_UNAVAILABLE, "cannot listen at " + address, bound.cause());
        }
        return bound.channel();
    }

    private ServerBootstrap newServer(ChannelHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(usesEpoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, receiveBuffers())
                .childHandler(handler);
        keepAliveOptions().forEach(bootstrap::childOption);
        return bootstrap;
    }

    /**
     * Opens a connection. May be called on any thread; listeners of the returned future run on the loop.
     *
     * @param address the address to connect to
     * @param handler sets up the connection
     * @return completes when the connection is established or has failed
     */
    public ChannelFuture connect(InetSocketAddress address, ChannelHandler handler) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(usesEpoll ? EpollSocketChannel.class : NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, receiveBuffers())
                .handler(handler);
        keepAliveOptions().forEach(bootstrap::option);
        if (usesEpoll) {
            // Java's selector has no such option; there, peers are pinged and each request has a timeout.
            bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLIS);
        }
        return bootstrap.connect(address);
    }

    /** Returns an allocator with which the end of a connection is noticed together with the bytes before it. */
    private static RecvByteBufAllocator receiveBuffers() {
        return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MESSAGES_PER_READ);
    }

    private Map<ChannelOption<Integer>, Integer> keepAliveOptions() {
        return usesEpoll
                ? Map.of(
                        EpollChannelOption.TCP_KEEPIDLE,
                        KEEPALIVE_PROBE_SECONDS,
                        EpollChannelOption.TCP_KEEPINTVL,
                        KEEPALIVE_PROBE_SECONDS,
                        EpollChannelOption.TCP_KEEPCNT,
                        KEEPALIVE_PROBES)
                : Map.of(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        KEEPALIVE_PROBE_SECONDS,
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        KEEPALIVE_PROBE_SECONDS,
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                        KEEPALIVE_PROBES);
    }

    /**
     * Closes all connections and stops the loop. Waits up to two seconds for it, so it must not be called on the loop.
     *
     * @throws SiskindykeException with code {@code INTERNAL} if the loop has not stopped by then
     */
    @Override
    public void close() {
        try {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).get(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new SiskindykeException(ErrorCode.INTERNAL, "cannot stop the traffic loop", e);
        }
    }
}
