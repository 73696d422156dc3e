/** HTTP servers and clients with shared settings, and JSON bodies. */
package org.siskindyke.runtime.http;
