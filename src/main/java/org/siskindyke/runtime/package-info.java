/** The router process: threads, servers and clients around the kernel. */
package org.siskindyke.runtime;
