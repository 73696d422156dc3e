package org.siskindyke.runtime.call;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.siskindyke.kernel.table.RowPath;

/** Hashes the content of a call, so that a request that crashed backend servers is recognised when it is sent again. */
public final class CallFingerprint {
    private CallFingerprint() {}

    /** Returns the path of the table row that records a call as suspected of crashing backend servers. */
    public static RowPath suspectPath(Call call) {
        return RowPath.suspect(call.service(), of(call));
    }

    /** Returns the 128-bit Murmur3 hash of the method, target, key and body, in hexadecimal. */
    public static String of(Call call) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(call.method(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(call.target(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(call.key() == null ? "" : call.key(), StandardCharsets.UTF_8)
                .putByte((byte) 0);
        hasher.putBytes(call.body());
        return hasher.hash().toString();
    }
}
