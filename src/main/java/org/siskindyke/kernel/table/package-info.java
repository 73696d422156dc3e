/** The table service as the kernel sees it, and a replica of its shared rows. */
package org.siskindyke.kernel.table;
