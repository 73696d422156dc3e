/** Slices of keys, who owns them and how they change owner. */
package org.siskindyke.kernel.ownership;
