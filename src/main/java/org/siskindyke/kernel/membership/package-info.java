/** Members, their leases and the grantors that renew the leases. */
package org.siskindyke.kernel.membership;
