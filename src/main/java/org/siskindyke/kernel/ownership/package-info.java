/** Slices of keys, their owners, and the table rows that list the slices of each owner. */
package org.siskindyke.kernel.ownership;
