package org.siskindyke.runtime.call;

/**
 * One header field.
 *
 * @param name the name, in lower case
 * @param value the value
 */
public record Header(String name, String value) {}
