/** Implementations of the table service: in the memory of the process, and as a client over HTTP. */
package org.siskindyke.plugin.table;
