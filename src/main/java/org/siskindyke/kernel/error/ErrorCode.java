package org.siskindyke.kernel.error;

/** Codes that identify an error to operators, callers and programs. */
public enum ErrorCode {
    /** An identifier is empty, too long or has characters that are not allowed. */
    INVALID_NAME,
    /** A command, flag, environment variable or setting is missing, unknown, malformed or out of range. */
    INVALID_SETTING,
    /** A document cannot be parsed or breaks a rule. */
    INVALID_DOCUMENT,
    /** A document was edited by someone else since the revision that the edit started from. */
    REVISION_CONFLICT,
    /** The document, backend server, HTTP resource or file does not exist. */
    NOT_FOUND,
    /** The request is malformed. */
    INVALID_REQUEST,
    /** The request or message is larger than accepted. */
    TOO_LARGE,
    /** The table service did not answer, so the outcome of a write may be unknown. */
    TABLE_UNAVAILABLE,
    /** A row in the table cannot be read. */
    CORRUPT_ROW,
    /** A peer did not answer or answered with an error status. */
    PEER_UNAVAILABLE,
    /** The address cannot be bound or connected to. */
    ADDRESS_UNAVAILABLE,
    /** An invariant does not hold. */
    INVARIANT_VIOLATED,
    /** Any other error; an internal error of the program. */
    INTERNAL
}
