package org.siskindyke.plugin.key;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.call.KeyExtractor;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.KeyRule.KeySource;

/** Extracts the key from the path segment with the rule's index; the first segment has index 0. */
@AutoService(KeyExtractor.class)
public final class PathSegmentKeyExtractor implements KeyExtractor {
    @Override
    public KeySource source() {
        return KeySource.PATH_SEGMENT;
    }

    @Override
    public String extract(KeyRule rule, CallParts parts) {
        String path = parts.path();
        int start = 1;
        for (int i = 0; i < rule.segment() && start > 0; i++) {
            start = path.indexOf('/', start) + 1;
        }
        if (start <= 0 || start >= path.length()) {
            return null;
        }
        int end = path.indexOf('/', start);
        return path.substring(start, end < 0 ? path.length() : end);
    }
}
