/**
 * Reads callers' requests, routes them to the owners of their keys and sends them to backend servers.
 *
 * <p>This is the path of calls in {@link org.siskindyke.runtime.RouterProcess}. {@link
 * org.siskindyke.runtime.InstanceRouter} handles calls in {@link org.siskindyke.runtime.traffic} and uses only {@link
 * Call}, {@link Reply}, {@link Header}, {@link SliceMeter} and the methods of {@link Headers} from here.
 */
package org.siskindyke.runtime.call;
