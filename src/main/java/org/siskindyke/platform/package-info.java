/** Translates between the router and the users' platform: settings, header fields, heartbeats, table, configuration. */
package org.siskindyke.platform;
