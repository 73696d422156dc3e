/** Coded, unchecked errors. */
package org.siskindyke.kernel.error;
