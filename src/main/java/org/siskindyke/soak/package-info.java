/**
 * A fault soak: real router processes with stand-ins of the store, of backend servers and of callers, under random
 * faults from outside; the promises are judged by what callers and backend servers saw.
 */
package org.siskindyke.soak;
