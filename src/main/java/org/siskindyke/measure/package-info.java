/** Measures the cost of the control plane at increasing sizes, with the production kernel and codec. */
package org.siskindyke.measure;
