package org.siskindyke.kernel.document;

/**
 * The table's row about a document.
 *
 * @param document the document
 * @param number counts the accepted revisions of this document, from 1
 * @param editor who put it
 * @param acceptedMillis when it was put, milliseconds since the epoch by the instance that took the edit
 */
public record DocumentRow(ServiceDocument document, long number, String editor, long acceptedMillis) {}
