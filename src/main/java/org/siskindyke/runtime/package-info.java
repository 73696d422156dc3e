/**
 * The router process: threads, servers and clients that run the state machines of {@code org.siskindyke.kernel}. There
 * are two routers: {@link InstanceRouter} for the users' platform and {@link RouterProcess} for the command-line tool.
 */
package org.siskindyke.runtime;
