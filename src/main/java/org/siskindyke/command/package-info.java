/** The command line. */
package org.siskindyke.command;
