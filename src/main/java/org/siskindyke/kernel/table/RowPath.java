package org.siskindyke.kernel.table;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;

/**
 * The path of a row in the table: a kind and a name within it, separated by slashes.
 *
 * @param value the text
 */
public record RowPath(@JsonValue String value) implements Comparable<RowPath> {
    /** Prefix of member rows. */
    public static final String MEMBERS = "members/";

    /** Prefix of rows that list the slices of a service that one member owns, or that have no owner. */
    public static final String SLICE_OWNERSHIPS = "holdings/";

    /** Prefix of the current revisions of documents. */
    public static final String DOCUMENTS = "documents/";

    /** Prefix of all accepted revisions of documents, the current ones included; not replicated. */
    public static final String HISTORY = "history/";

    /**
     * Prefix of the rows in which each member records the number of its last committed transaction, to find out whether
     * a transaction took effect whose answer was lost; not replicated.
     */
    public static final String WRITERS = "writers/";

    /**
     * Prefix of the rows that members write to show that they reach the table, which extends their outage bound and
     * renews a lease whose grantor is the table; not replicated.
     */
    public static final String TOUCHES = "touches/";

    /** Prefix of the rows that identify requests convicted of crashing backend servers. */
    public static final String SUSPECTS = "suspects/";

    private static final String UNASSIGNED = "unassigned";

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the path
     */
    @JsonCreator
    public static RowPath of(String text) {
        return new RowPath(text);
    }

    /** Returns the path of a member's row. */
    public static RowPath member(MemberId member) {
        return new RowPath(MEMBERS + member);
    }

    /** Returns the path of the row that lists the slices of a service that a member owns. */
    public static RowPath sliceOwnership(ServiceName service, MemberId member) {
        return new RowPath(SLICE_OWNERSHIPS + service + "/" + member);
    }

    /** Returns the path of the row that lists the slices of a service without an owner. */
    public static RowPath unassigned(ServiceName service) {
        return new RowPath(SLICE_OWNERSHIPS + service + "/" + UNASSIGNED);
    }

    /** Returns the path of a service's document. */
    public static RowPath document(ServiceName service) {
        return new RowPath(DOCUMENTS + service);
    }

    /** Returns the path of one revision in the history of a document. */
    public static RowPath history(ServiceName service, long revision) {
        return new RowPath(HISTORY + service + "/" + revision);
    }

    /** Returns the path of the row that records the number of a member's last committed transaction. */
    public static RowPath writer(MemberId member) {
        return new RowPath(WRITERS + member);
    }

    /**
     * Returns the path of the row that a member writes to extend its outage bound and, if its grantor is the table, to
     * renew its lease.
     */
    public static RowPath touch(MemberId member) {
        return new RowPath(TOUCHES + member);
    }

    /** Returns the path of the row about a request that was convicted of crashing backend servers. */
    public static RowPath suspect(RequestFingerprint request) {
        return new RowPath(SUSPECTS + request);
    }

    /** Returns whether every router keeps a copy of rows of this kind. */
    public boolean isReplicated() {
        return isIn(MEMBERS) || isIn(SLICE_OWNERSHIPS) || isIn(DOCUMENTS) || isIn(SUSPECTS);
    }

    /** Returns whether the path starts with the given prefix. */
    public boolean isIn(String prefix) {
        return value.startsWith(prefix);
    }

    /** Returns the part after the last slash. */
    public String lastSegment() {
        return value.substring(value.lastIndexOf('/') + 1);
    }

    /** Returns whether the row lists slices without an owner. */
    public boolean isUnassigned() {
        return isIn(SLICE_OWNERSHIPS) && lastSegment().equals(UNASSIGNED);
    }

    @Override
    public int compareTo(RowPath other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
