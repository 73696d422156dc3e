/** Where instances are, and what that permits and costs. */
package org.siskindyke.kernel.place;
