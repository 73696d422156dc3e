/** Reads callers' requests, routes them to the owners of their keys and sends them to backend servers. */
package org.siskindyke.runtime.call;
