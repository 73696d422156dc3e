/** Table services: embedded in the process, and over HTTP. */
package org.siskindyke.plugin.table;
