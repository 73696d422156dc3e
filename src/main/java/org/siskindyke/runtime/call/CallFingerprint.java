package org.siskindyke.runtime.call;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.siskindyke.kernel.table.RowPath;

/** Identifies what a call asks for, so that the same request sent again is recognised. */
public final class CallFingerprint {
    private CallFingerprint() {}

    /** Returns the path of the row that would name a call as suspect. */
    public static RowPath suspectPath(Call call) {
        return RowPath.suspect(call.service(), of(call));
    }

    /** Returns a hash of the method, target, key and body, in hexadecimal. */
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
