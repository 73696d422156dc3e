/** Renders the output files of trials as an HTML page with charts. */
package org.siskindyke.report;
