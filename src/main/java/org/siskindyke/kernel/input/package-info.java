/** Reads values that other programs wrote, within stated bounds. */
package org.siskindyke.kernel.input;
