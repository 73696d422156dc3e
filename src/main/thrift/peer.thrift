namespace java org.siskindyke.wire

/** One table row as routers pass it on. An empty value with deleted set is a tombstone. */
struct WireRow {
  1: string path,
  2: i64 version,
  3: string value,
  4: bool deleted,
}

/** Changes of the table after the asker's version, complete up to upToVersion. */
struct WireDelta {
  1: i64 upToVersion,
  2: list<WireRow> rows,
  /** The version from which on the changes are complete; absent where only the asker knows it. */
  3: optional i64 sinceVersion,
}

/** A lease renewal from a member to its recorded grantor. */
struct RenewRequest {
  1: string member,
  2: i64 epoch,
  3: i64 sequence,
  4: i64 tableVersion,
  5: bool probe,
}

/** The grantor's answer; granted only under a lease of its own. */
struct RenewResponse {
  1: i64 sequence,
  2: bool granted,
  3: i64 leaseMillis,
  4: string reason,
  5: WireDelta delta,
}

/** The end of a backend server while it ran a request. */
struct WireCrash {
  1: string target,
  2: i64 startMillis,
  3: string caller,
  4: i64 ageMillis,
  5: bool cleared,
  6: bool alone,
}

/** The evidence against a request, named by both halves of its fingerprint. */
struct WireSuspect {
  1: i64 fingerprintHigh,
  2: i64 fingerprintLow,
  3: list<WireCrash> crashes,
}

/** The latest state of an operator's order to evacuate a failure domain. */
struct WireEvacuation {
  1: string domain,
  2: i64 era,
  3: i64 version,
  4: bool evacuated,
  /** How long ago the sender learnt this state first. */
  5: i64 ageMillis,
}

/** Pulls what the asker does not know yet and offers what it knows. */
struct GossipRequest {
  1: string member,
  2: i64 tableVersion,
  3: WireDelta delta,
  4: i64 configurationRevision,
  5: optional string configuration,
  6: optional list<i32> suspectsDigest,
  7: optional list<WireSuspect> suspects,
  /** How long ago the table last answered any member, as far as the sender knows. */
  8: optional i64 tableAgeMillis,
  9: optional list<WireEvacuation> evacuations,
}

struct GossipResponse {
  1: i64 tableVersion,
  2: WireDelta delta,
  3: i64 configurationRevision,
  4: optional string configuration,
  5: optional list<i32> suspectsDigest,
  6: optional list<WireSuspect> suspects,
  /** How long ago the table last answered any member, as far as the sender knows. */
  7: optional i64 tableAgeMillis,
  8: optional list<WireEvacuation> evacuations,
}

struct WireHeader {
  1: string name,
  2: string value,
}

/** A call passed to the router beside the backend server that must run it. */
struct ForwardRequest {
  1: string callId,
  2: string serviceName,
  3: i32 sliceIndex,
  4: i64 generation,
  5: string method,
  6: string target,
  7: list<WireHeader> headers,
  8: binary body,
  9: i64 remainingMillis,
  10: i32 hops,
  11: string key,
  12: string toMember,
  /** Rank among the calls of a service; 0 is served first. */
  13: i32 priority,
  14: bool idempotent,
  /** Time left within which the answer is worth most. */
  15: i64 objectiveMillis,
  /** Whether a running call waits for this one. */
  16: bool nested,
  /** Whether the call may still go to another target, so that a long wait is better refused. */
  17: bool movable,
  /** Names calls that take about as long. */
  18: string kind,
  /** Who sent the call. */
  19: string caller,
  /** Whether the answer to an earlier attempt was lost, so that the call may crash the target. */
  20: bool suspected,
  /** Whether an earlier attempt was refused and its caller returns when it was told to; absent for false. */
  21: optional bool returning,
}

/** How busy a target is. */
struct WireLoad {
  1: i32 slots,
  2: i32 busy,
  3: i32 waiting,
  4: i32 millisPerCall,
  5: i32 intervalMillis,
  /** What the target itself has announced lately; absent where it has announced nothing. */
  6: optional i32 serverRunning,
  7: optional i32 serverWaiting,
  8: optional i32 serverSlots,
  /** How long work takes on the target's host now, in percent of the average during the calls of millisPerCall. */
  9: optional i32 serverSlownessPercent,
}

struct ForwardResponse {
  1: string callId,
  2: i32 status,
  3: list<WireHeader> headers,
  4: binary body,
  5: i32 verdict,
  6: string code,
  7: string detail,
  8: string ownerHint,
  9: i64 generationHint,
  10: i64 retryAfterMillis,
  /** What the target is doing, for the choice of targets; absent where the answer does not come from its router. */
  11: optional WireLoad load,
}



/** Asks an owner to hand slices of a service to another member. */
struct ReleaseRequest {
  1: string serviceName,
  2: list<i32> slices,
  3: string toMember,
  4: string reason,
}

struct ReleaseResponse {
  1: bool accepted,
  2: string reason,
}

/** What one instance reports of itself. */
struct StatusRequest {
  1: string member,
}

struct StatusResponse {
  1: string json,
}

/**
 * The state of a connection between two routers. With the first ping on it, the opener names the connection and the calls
 * that it waits for; the pong says which of them have arrived. Routers of earlier versions use the fields 2, 3, 5 and 6.
 */
struct LinkState {
  /** Names the connection to routers of earlier versions; chosen by its opener. */
  1: i64 session,
  /** In a ping, the ids of the calls that have no reply. */
  4: optional list<i64> pending,
  /** Names all connections that the opener's process has opened to the peer one after the other. */
  7: optional i64 link,
  /** The number of the connection in its link. */
  8: optional i32 connection,
  /** In a pong, the number of the first connection of the link that the peer has a record of. */
  9: optional i32 firstConnection,
  /** In a pong, the ids of the pending calls that have arrived. */
  10: optional list<i64> received,
}

/** Asks a member how busy its target of a service is. */
struct LoadRequest {
  1: string serviceName,
}

struct LoadResponse {
  1: bool known,
  2: double callsPerSecond,
  3: double millisPerCall,
  4: i32 slots,
  5: i32 sliceCount,
}
