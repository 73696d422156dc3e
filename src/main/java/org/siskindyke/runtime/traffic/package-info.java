/**
 * Transport of calls between callers, routers and backend servers, on one event loop of Netty; used by {@link
 * org.siskindyke.runtime.InstanceRouter}. {@link org.siskindyke.runtime.RouterProcess} has its own transport in the
 * packages {@code runtime.call} and {@code runtime.peer}; only the types of calls and their wire form are shared.
 */
package org.siskindyke.runtime.traffic;
