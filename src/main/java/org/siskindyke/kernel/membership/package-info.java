/** Members, leases and the grantors that renew them. */
package org.siskindyke.kernel.membership;
