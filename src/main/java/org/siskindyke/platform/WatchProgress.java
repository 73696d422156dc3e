package org.siskindyke.platform;

/**
 * Decides up to which version of the store a reader of one table has seen all changes after the answer to a watch.
 *
 * <p>The version that an answer names is no proof: a watch that was not told of a change names the version of that
 * change. Only rows count, and the version that an earlier answer named, since the present watch covers it again.
 */
final class WatchProgress {
    private long lastAnswerVersion;

    /**
     * Returns the version from which the next watch starts.
     *
     * @param after the version from which the answered watch started
     * @param newestRowVersion the highest version of the rows in the answer; 0 if it has none
     * @param answerVersion the version that the answer names
     */
    long onAnswer(long after, long newestRowVersion, long answerVersion) {
        long seenVersion = newestRowVersion > 0 ? newestRowVersion : lastAnswerVersion;
        lastAnswerVersion = answerVersion;
        return Math.max(after, seenVersion);
    }

    /** Forgets all versions, since the store was restored and gives them out again. */
    void reset() {
        lastAnswerVersion = 0;
    }
}
