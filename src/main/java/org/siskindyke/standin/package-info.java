/** Stand-ins for the systems that the router works with: the table service, the platform's store, backend servers. */
package org.siskindyke.standin;
