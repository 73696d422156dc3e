/** The router process: threads, servers and clients that run the kernel. */
package org.siskindyke.runtime;
