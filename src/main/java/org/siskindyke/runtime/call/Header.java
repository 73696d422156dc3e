package org.siskindyke.runtime.call;

/**
 * One header field.
 *
 * @param name the name; lower case where {@link Headers#endToEnd(io.servicetalk.http.api.HttpHeaders)} read it
 * @param value the value
 */
public record Header(String name, String value) {}
