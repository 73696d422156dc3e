package org.siskindyke.kernel.control;

/** From where a member knows all rows of the table, in increasing order of trust. */
public enum RowKnowledge {
    /** It does not know all rows yet. */
    INCOMPLETE,
    /** From a peer that knew all rows; changes that this peer had not received yet are missing. */
    FROM_PEER,
    /** From the table, read after this member was created. */
    FROM_TABLE
}
