package org.siskindyke.kernel.call;

import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.KeyRule.KeySource;

/** Extracts the key from one part of a call. Implementations are loaded by {@link java.util.ServiceLoader}. */
public interface KeyExtractor {
    /** Returns the part of a call that this extractor reads. */
    KeySource source();

    /**
     * Extracts the key.
     *
     * @param rule the location of the key
     * @param parts the call
     * @return the key, or null if the call has none
     */
    String extract(KeyRule rule, CallParts parts);

    /** The parts of a call that may contain a key. */
    interface CallParts {
        /** Returns the path without the query. */
        String path();

        /** Returns the first value of a header, or null if it is absent. */
        String header(String name);

        /** Returns the first value of a query parameter, or null if it is absent. */
        String queryParameter(String name);
    }
}
