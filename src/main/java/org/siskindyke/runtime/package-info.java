/**
 * The router process: threads, servers and clients that run the kernel. There are two: {@link InstanceRouter} for the
 * users' platform and {@link RouterProcess} for the command-line tool.
 */
package org.siskindyke.runtime;
