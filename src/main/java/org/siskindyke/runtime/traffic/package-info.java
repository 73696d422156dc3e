/** Transport of calls between callers, routers and backend servers, on one event loop of Netty. */
package org.siskindyke.runtime.traffic;
