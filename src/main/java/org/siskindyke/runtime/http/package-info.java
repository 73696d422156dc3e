/** HTTP servers and clients with the settings that all parts share. */
package org.siskindyke.runtime.http;
