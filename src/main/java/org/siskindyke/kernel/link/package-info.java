/**
 * What the two ends of a link know of the calls that one sends to the other over successive connections. Without
 * network and threads.
 */
package org.siskindyke.kernel.link;
