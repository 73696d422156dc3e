package org.siskindyke.kernel.table;

/**
 * The eras of a table. A table that is restored from a copy may have lost rows that it had committed, and gives its
 * versions out again; with each restore a new era begins. The era is the high part of all versions and revisions, so
 * that those of different eras are never equal and those of later eras are higher.
 *
 * <p>What is left of the rows of earlier eras is known to be old: reads of all rows return it, with its old revisions,
 * to readers that know nothing newer, but no row counts as written in the new era before it is written again. So a
 * condition with a revision of an earlier era holds as long as nobody has written the row in the present one, and no
 * late write of an earlier era has an effect.
 */
public final class TableEra {
    private static final int VERSION_BITS = 40;

    /** The highest era that an {@code EraKey} can name. */
    public static final long MAX_ERA = 999_999;

    /** The highest version within an era. */
    public static final long MAX_VERSION = (1L << VERSION_BITS) - 1;

    private TableEra() {}

    /** Returns the era of a version or revision. */
    public static long of(long revision) {
        return revision >>> VERSION_BITS;
    }

    /** Returns the revision that a version has in an era. */
    public static long revision(long era, long version) {
        return era << VERSION_BITS | version;
    }

    /** Returns the version that a revision has within its era. */
    public static long versionOf(long revision) {
        return revision & (1L << VERSION_BITS) - 1;
    }

    /** Returns the revision that a condition requires in an era: 0, for no row, if it is of an earlier one. */
    public static long requiredIn(long era, long revision) {
        return of(revision) < era ? 0 : revision;
    }
}
