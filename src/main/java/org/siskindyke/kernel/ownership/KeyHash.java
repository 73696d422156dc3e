package org.siskindyke.kernel.ownership;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/** Maps keys that are texts to slices by a hash. {@link KeyRange} maps numeric keys. */
public final class KeyHash {
    private KeyHash() {}

    /**
     * Returns the slice of a key.
     *
     * @param key the key
     * @param sliceCount number of slices of the service
     * @return zero-based index of the slice
     */
    public static int sliceOf(String key, int sliceCount) {
        long hash =
                Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
        return (int) Math.floorMod(hash, (long) sliceCount);
    }
}
