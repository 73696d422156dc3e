/** Stand-ins for the systems that the router meets: the table service and backend servers. */
package org.siskindyke.standin;
