package org.siskindyke.runtime.traffic;

import org.siskindyke.kernel.crash.CrashInvestigation;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.TargetIncarnation;

/** Receives the signs of a lost or crashed backend server, as a {@link BackendDispatcher} sees them on its loop. */
public interface TargetObserver {
    /** Called when a call could not be sent to the backend server. */
    void onUnreachable();

    /** Called when a response of an incarnation of the backend server says that it leaves. */
    void onLeavingAnnounced(TargetIncarnation target);

    /** Called when the connection of a running request was lost before its response was known to be complete. */
    void onConnectionLost(CrashInvestigation.Loss loss);

    /** Called when the backend server accepts connections after such a loss. */
    void onConnected();

    /** Called when the backend server's address refuses connections after such a loss. */
    void onRefused();

    /** Called when the backend server has answered a request that is suspected of crashing backend servers. */
    void onSuspectAnswered(RequestFingerprint request);
}
