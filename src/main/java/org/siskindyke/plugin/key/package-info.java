/** Extractors that find the key of a call. */
package org.siskindyke.plugin.key;
