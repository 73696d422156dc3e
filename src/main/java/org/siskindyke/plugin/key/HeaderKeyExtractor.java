package org.siskindyke.plugin.key;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.call.KeyExtractor;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.KeyRule.KeySource;

/** Extracts the key from the request header that the rule names. */
@AutoService(KeyExtractor.class)
public final class HeaderKeyExtractor implements KeyExtractor {
    @Override
    public KeySource source() {
        return KeySource.HEADER;
    }

    @Override
    public String extract(KeyRule rule, CallParts parts) {
        return parts.header(rule.name());
    }
}
