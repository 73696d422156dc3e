/**
 * Implementations of the table service: in the memory of the process, and as a client over HTTP. That of the users'
 * platform is in {@link org.siskindyke.platform}.
 */
package org.siskindyke.plugin.table;
