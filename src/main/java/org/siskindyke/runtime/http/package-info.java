/** HTTP servers and clients of ServiceTalk with shared settings, and JSON bodies. */
package org.siskindyke.runtime.http;
