/** Slices of keys, their owners and how slices change owner. */
package org.siskindyke.kernel.ownership;
