/** Open-loop load with answer checks. */
package org.siskindyke.load;
