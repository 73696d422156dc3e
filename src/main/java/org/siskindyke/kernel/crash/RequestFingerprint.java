package org.siskindyke.kernel.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;

/**
 * Identifies the content of a request, which stays the same when its caller sends it again under another id.
 *
 * @param high the first half of a 128-bit hash
 * @param low the second half
 */
public record RequestFingerprint(long high, long low) implements Comparable<RequestFingerprint> {
    private static final int HEX_DIGITS = 32;
    private static final int HEX_DIGITS_PER_HALF = 16;
    private static final int HEX_RADIX = 16;

    /**
     * Hashes a request.
     *
     * @param service the service that the request is for
     * @param method the HTTP method
     * @param target the request target: path and query
     * @param body the whole body
     */
    public static RequestFingerprint of(ServiceName service, String method, String target, byte[] body) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        putText(hasher, service.value());
        putText(hasher, method);
        putText(hasher, target);
        ByteBuffer hash = ByteBuffer.wrap(hasher.putBytes(body).hash().asBytes());
        return new RequestFingerprint(hash.getLong(), hash.getLong());
    }

    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }

    /**
     * Parses the text form.
     *
     * @param text 32 hexadecimal digits
     * @throws SiskindykeException with code {@code INVALID_NAME} for any other text
     */
    @JsonCreator
    public static RequestFingerprint parse(String text) {
        try {
            if (text.length() == HEX_DIGITS) {
                return new RequestFingerprint(
                        Long.parseUnsignedLong(text.substring(0, HEX_DIGITS_PER_HALF), HEX_RADIX),
                        Long.parseUnsignedLong(text.substring(HEX_DIGITS_PER_HALF), HEX_RADIX));
            }
        } catch (NumberFormatException e) {
            throw new SiskindykeException(ErrorCode.INVALID_NAME, "malformed fingerprint '" + text + "'", e);
        }
        throw new SiskindykeException(ErrorCode.INVALID_NAME, "fingerprint is not " + HEX_DIGITS + " digits");
    }

    /** Returns a number that is as good as random for each pair of a request and a name, by which names are ranked. */
    public long scoreOf(String name) {
        return Hashing.murmur3_128((int) low)
                .hashString(name, StandardCharsets.UTF_8)
                .asLong();
    }

    @Override
    public int compareTo(RequestFingerprint other) {
        int byHigh = Long.compareUnsigned(high, other.high);
        return byHigh != 0 ? byHigh : Long.compareUnsigned(low, other.low);
    }

    @JsonValue
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
