/** Clients and servers of the messages between routers, and their wire form. */
package org.siskindyke.runtime.peer;
