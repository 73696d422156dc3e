package org.siskindyke.standin;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Encodes values of rows as the bodies of the store do, in Base64. */
final class StoreText {
    private StoreText() {}

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
