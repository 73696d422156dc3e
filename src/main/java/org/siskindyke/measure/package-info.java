/** Measures control at growing sizes with the real kernel and codec. */
package org.siskindyke.measure;
