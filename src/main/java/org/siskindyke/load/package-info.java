/** Open-loop load generation that checks each answer. */
package org.siskindyke.load;
