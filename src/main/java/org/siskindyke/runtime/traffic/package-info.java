/** Transport of calls between callers, routers and backend servers, on one event loop. */
package org.siskindyke.runtime.traffic;
