/** The administration API of a router: its HTTP service, its operations and a client for commands. */
package org.siskindyke.runtime.admin;
