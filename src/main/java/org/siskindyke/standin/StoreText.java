package org.siskindyke.standin;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Encodes the values of rows in Base64, the form in which the store's requests and responses have them. */
final class StoreText {
    private StoreText() {}

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
