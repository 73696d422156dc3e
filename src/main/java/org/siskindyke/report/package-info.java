/** Turns the files of trials into charts. */
package org.siskindyke.report;
