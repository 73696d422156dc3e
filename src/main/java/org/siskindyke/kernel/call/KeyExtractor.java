package org.siskindyke.kernel.call;

import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.KeyRule.KeySource;

/** Finds the key of a call in one part of it. Implementations are found by service loading. */
public interface KeyExtractor {
    /** Returns the part of a call that this extractor reads. */
    KeySource source();

    /**
     * Finds the key.
     *
     * @param rule says where to look
     * @param parts gives access to the call
     * @return the key, or null where the call has none
     */
    String extract(KeyRule rule, CallParts parts);

    /** The parts of a call that may hold a key. */
    interface CallParts {
        /** Returns the path without the query. */
        String path();

        /** Returns the first value of a header, or null. */
        String header(String name);

        /** Returns the first value of a query parameter, or null. */
        String queryParameter(String name);
    }
}
