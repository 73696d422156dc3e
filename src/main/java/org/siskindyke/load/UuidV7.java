package org.siskindyke.load;

import java.util.UUID;
import java.util.random.RandomGenerator;

/** Creates version 7 UUIDs (RFC 9562), which contain their creation time. */
public final class UuidV7 {
    private static final long VERSION_BITS = 0x7000L;
    private static final long VARIANT_BITS = 0x8000_0000_0000_0000L;
    private static final int TIME_SHIFT_BITS = 16;
    private static final int RANDOM_A_MASK = 0xfff;
    private static final long RANDOM_B_MASK = 0x3fff_ffff_ffff_ffffL;

    private UuidV7() {}

    /** Returns a UUID for a creation time in milliseconds since the Unix epoch. */
    public static UUID of(long epochMillis, RandomGenerator random) {
        long high = epochMillis << TIME_SHIFT_BITS | VERSION_BITS | random.nextInt() & RANDOM_A_MASK;
        long low = random.nextLong() & RANDOM_B_MASK | VARIANT_BITS;
        return new UUID(high, low);
    }
}
