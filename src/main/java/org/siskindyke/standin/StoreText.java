package org.siskindyke.standin;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Values of rows as the store's bodies hold them. */
final class StoreText {
    private StoreText() {}

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
