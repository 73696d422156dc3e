package org.siskindyke.runtime.traffic;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Accounts for the memory that a process holds for callers: connections, header sections, bodies, requests that wait or
 * run, and responses that are not read yet; also for calls that other routers have forwarded, and for responses that
 * backend servers have sent in part. What is counted is an estimate from above of the heap and the direct memory that
 * is held, not the number of bytes received.
 *
 * <p>Where there is no room, those give way that hold more, and have kept the process waiting for longer, than the one
 * that asks. If they do not free enough, the one that asks gets nothing. A quarter is kept for those that hold little,
 * as ordinary callers do. Confined to the traffic loop.
 */
public final class CallerMemory {
    /** Part of the heap in eighths; the rest is for the router itself, and for copies while requests are processed. */
    private static final long HEAP_EIGHTHS = 3;

    private static final long EIGHTHS = 8;
    /** Up to this size a share may use the part of the account that is kept free of larger ones. */
    private static final long LIGHT_BYTES = 65_536;

    private static final long LIGHT_DIVISOR = 4;
    /** Room, outside that part, for the longest body that is accepted, with its request and the connection. */
    private static final long MIN_BYTES =
            (RequestMemory.MAX_BODY_BYTES + (1 << 20)) / (LIGHT_DIVISOR - 1) * LIGHT_DIVISOR;
    /** Added to the time that a holder has kept the process waiting, so that what it holds counts from the start. */
    private static final long MIN_WAIT_MILLIS = 100;
    /** Part of the account that is freed beyond what is asked for, so that not each request looks for holders. */
    private static final long FREED_DIVISOR = 32;

    private final MonotonicClock clock;
    private final long maxBytes;
    /** Up to this size a share may use all of the account. */
    private final long lightBytes;

    private final Set<Share> shares = new HashSet<>();
    private long usedBytes;
    private long shed;
    private long refused;
    private boolean shedding;

    CallerMemory(MonotonicClock clock) {
        this(clock, Math.max(MIN_BYTES, Runtime.getRuntime().maxMemory() / EIGHTHS * HEAP_EIGHTHS));
    }

    /** Creates an account of the given size. */
    CallerMemory(MonotonicClock clock, long maxBytes) {
        this(clock, maxBytes, LIGHT_BYTES);
    }

    /** Creates an account as above, all of which may be used by shares of up to {@code lightBytes}. */
    CallerMemory(MonotonicClock clock, long maxBytes, long lightBytes) {
        this.clock = clock;
        this.maxBytes = maxBytes;
        this.lightBytes = lightBytes;
    }

    /** One that holds memory and can give it up. */
    interface Holder {
        /** Returns how many bytes it would give up now; 0 if it must not be asked to. */
        long sheddableBytes();

        /** Returns since when it has waited for its caller, by the monotonic clock. */
        long waitingSinceMillis();

        /** Gives up what it holds; its share is smaller afterwards by {@link #sheddableBytes}. */
        void shed();
    }

    /** Holds memory that is never given up early. */
    static final Holder KEEPS_ALL = new Holder() {
        @Override
        public long sheddableBytes() {
            return 0;
        }

        @Override
        public long waitingSinceMillis() {
            return Long.MAX_VALUE;
        }

        @Override
        public void shed() {}
    };

    /** The part of the account that one holder uses; none at first. */
    final class Share {
        private final Holder holder;
        private long bytes;
        private boolean ended;

        private Share(Holder holder) {
            this.holder = holder;
        }

        /** Changes the number of bytes; returns whether there is room, and changes nothing otherwise. */
        boolean resize(long newBytes) {
            long limitBytes = newBytes > lightBytes ? maxBytes - maxBytes / LIGHT_DIVISOR : maxBytes;
            if (ended || newBytes > bytes && !makeRoom(this, newBytes - bytes, limitBytes)) {
                refused++;
                return false;
            }
            set(newBytes);
            return true;
        }

        /** Adds bytes if there is room without any holder giving way; returns whether there is. */
        boolean addIfFree(long moreBytes) {
            boolean free = !ended && usedBytes + moreBytes <= maxBytes - maxBytes / LIGHT_DIVISOR;
            if (free) {
                set(bytes + moreBytes);
            }
            return free;
        }

        /** Changes the number of bytes of what is held already; others give way for it as far as they do. */
        void force(long newBytes) {
            if (newBytes > bytes) {
                makeRoom(this, newBytes - bytes, maxBytes);
            }
            set(newBytes);
        }

        private void set(long newBytes) {
            if (ended) {
                return;
            }
            usedBytes += newBytes - bytes;
            bytes = newBytes;
        }

        long bytes() {
            return bytes;
        }

        /** Returns all bytes; the share is not used again. */
        void end() {
            set(0);
            ended = true;
            shares.remove(this);
        }
    }

    /** Returns a new share for memory that its holder can give up. */
    Share open(Holder holder) {
        Share share = new Share(holder);
        shares.add(share);
        return share;
    }

    /** Returns a new share for memory that is kept until its end. */
    Share open() {
        return open(KEEPS_ALL);
    }

    private record Candidate(Share share, long sheddableBytes, double weight) {}

    private boolean makeRoom(Share asker, long moreBytes, long limitBytes) {
        if (usedBytes + moreBytes <= limitBytes) {
            return true;
        }
        if (shedding) {
            // A holder that gives way counts its last response.
            return false;
        }
        long nowMillis = clock.nowMillis();
        double askerWeight = weight(asker, asker.holder.sheddableBytes() + moreBytes, nowMillis);
        List<Candidate> candidates = shares.stream()
                .filter(share -> share != asker)
                .map(share -> candidate(share, nowMillis))
                .filter(candidate -> candidate.sheddableBytes() > 0 && candidate.weight() > askerWeight)
                .sorted(Comparator.comparingDouble(Candidate::weight).reversed())
                .toList();
        long sheddableBytes =
                candidates.stream().mapToLong(Candidate::sheddableBytes).sum();
        if (usedBytes + moreBytes - sheddableBytes > limitBytes) {
            return false;
        }
        shedding = true;
        try {
            for (Candidate candidate : candidates) {
                if (usedBytes + moreBytes <= limitBytes - maxBytes / FREED_DIVISOR) {
                    break;
                }
                candidate.share().holder.shed();
                shed++;
            }
        } finally {
            shedding = false;
        }
        return usedBytes + moreBytes <= limitBytes;
    }

    private static Candidate candidate(Share share, long nowMillis) {
        long bytes = share.holder.sheddableBytes();
        return new Candidate(share, bytes, weight(share, bytes, nowMillis));
    }

    private static double weight(Share share, long bytes, long nowMillis) {
        long waitMillis = Math.max(0, nowMillis - Math.min(nowMillis, share.holder.waitingSinceMillis()));
        return (double) bytes * (waitMillis + MIN_WAIT_MILLIS);
    }

    /** Returns the bytes in use. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the size of the account in bytes. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns how many times a connection has given up what it held, since the start. */
    public long shed() {
        return shed;
    }

    /** Returns how many times there was no room, since the start. */
    public long refused() {
        return refused;
    }
}
