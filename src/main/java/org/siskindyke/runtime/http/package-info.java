/**
 * HTTP servers and clients of ServiceTalk with shared settings, and JSON bodies. {@link
 * org.siskindyke.runtime.RouterProcess} sends and receives calls with them; {@link
 * org.siskindyke.runtime.InstanceRouter} uses the package {@code runtime.traffic} instead.
 */
package org.siskindyke.runtime.http;
