/** Implementations of {@link org.siskindyke.kernel.call.KeyExtractor}, found by service loading. */
package org.siskindyke.plugin.key;
