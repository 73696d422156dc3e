package org.siskindyke.kernel.document;

/**
 * The row of a document in the table.
 *
 * @param document the document
 * @param number revision of this document, counted from 1
 * @param editor who made the edit
 * @param acceptedMillis when the edit was accepted, in milliseconds since the epoch by the clock of the instance that
 *     accepted it
 */
public record DocumentRow(ServiceDocument document, long number, String editor, long acceptedMillis) {}
