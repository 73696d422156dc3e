/** The interface to the table service, and a replica of its replicated rows. */
package org.siskindyke.kernel.table;
