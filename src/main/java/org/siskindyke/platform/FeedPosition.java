package org.siskindyke.platform;

/**
 * The version of the store up to which a reader has seen all changes of a table; its next watch starts there.
 *
 * <p>The version that an answer names is no proof that the reader has seen the changes up to it: a read may lag behind
 * it, and a watch that is not told of a change names the version of that change. Only rows, a transaction and the
 * version named by an earlier watch count. Not thread-safe.
 */
final class FeedPosition {
    private long seenVersion;
    private long lastAnswerVersion;

    /** Returns the version up to which all changes were seen. */
    long seenVersion() {
        return seenVersion;
    }

    /**
     * Records the answer to a watch that started at {@link #seenVersion}.
     *
     * @param newestRowVersion the highest version of the rows in the answer; 0 if it has none
     * @param answerVersion the version that the answer names
     */
    void onWatched(long newestRowVersion, long answerVersion) {
        // The next watch repeats the range from the previous answer on, in case this watch was not told of a change.
        advanceTo(newestRowVersion > 0 ? newestRowVersion : lastAnswerVersion);
        lastAnswerVersion = answerVersion;
    }

    /** Records that all changes up to a version were seen. */
    void advanceTo(long version) {
        seenVersion = Math.max(seenVersion, version);
    }
}
