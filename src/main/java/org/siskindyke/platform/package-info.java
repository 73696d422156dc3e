/** Adapters for the users' platform: settings, header fields, heartbeats, table and configuration. */
package org.siskindyke.platform;
