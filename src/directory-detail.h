/// Functions that the directory's source files share.
#pragma once

#include "oriolelever/directory.h"

namespace oriolelever::detail {

/// Returns the peer's server in the current roster if it is reachable, else null.
const RouteServer *findReachablePeer(const Directory &directory, ServerId id);
/// Returns this agent's own server in the current roster, or null.
const RouteServer *findOwnServer(const Directory &directory);
/// Returns whether this agent owns the bucket according to its roster.
bool ownsBucket(const Directory &directory, BucketIndex bucket);
/// Returns whether every reachable peer has granted the bucket.
bool hasAllGrants(const Directory &directory, BucketIndex bucket);
BucketIndex bucketOfCaller(const Directory &directory, const Endpoint &caller);

/// Adds or replaces a flow. A report of another agent never moves a flow of the local server, and an
/// unconfirmed one never replaces a confirmed entry unless its holder is this agent.
void recordFlow(Directory &directory, const Endpoint &caller, ServerId holder, bool confirmed, TimePoint now);
void removeFlow(Directory &directory, const Endpoint &caller);
/// Subtracts the entry from the count of local flows if it is part of it.
void uncountLocalFlow(Directory &directory, const FlowEntry &entry);
/// Returns whether the flow is known to have ended. A UDP flow that is `closing` is only idle and may go on.
bool hasEnded(const Directory &directory, const FlowEntry &entry);

/// Records whether the peer has granted the bucket, also in `Directory::missingGrants`.
void setGranted(Directory &directory, PeerState &peer, BucketIndex bucket, bool granted);
/// Discards all grants of one bucket, and requests them again if this agent owns it. Called when another
/// agent may place flows of the bucket from now on, or may have until now: the known flows are incomplete.
void resetGrants(Directory &directory, BucketIndex bucket);
/// Returns whether a request about the bucket is pending at any peer.
bool isQueryPending(Directory &directory, BucketIndex bucket);
/// Queries all reachable peers for the flows of the bucket by a new request for its grant.
void queryPeers(Directory &directory, BucketIndex bucket);
/// Detects a pause longer than the lease: the grants may have passed to other agents meanwhile, and queued
/// packets may be old.
void checkLease(Directory &directory, TimePoint now);
/// Discards all grants and requests those of the owned buckets again.
void resetAllGrants(Directory &directory);
/// Adds requests for the owned buckets that the peer has not granted; `sendGrantRequest` sends them.
void queueGrantRequests(Directory &directory, PeerState &peer);
/// Sends a request for the peer's pending grants if there are any and the retry is due.
void sendGrantRequest(Directory &directory, ServerId id, PeerState &peer, TimePoint now, Effects &effects);
/// Returns the agent that keeps the replica of `server`: the next reachable one in the cyclic order of ids.
ServerId replicaPeerOf(const ServiceRoute &route, ServerId server);
/// Sends the next batch of local flows to the replica peer, or repeats the last, if one is due.
void sendReplica(Directory &directory, TimePoint now, Effects &effects);
/// Stores and acknowledges a batch, or handles the acknowledgement of an own batch.
void handleReplica(Directory &directory, ServerId from, const ReplicaMessage &replica, TimePoint now,
                   Effects &effects);
/// Sends the load of the local server to one peer; for `hasLostBuckets` see `LoadMessage`.
void sendLoad(Directory &directory, ServerId id, bool hasLostBuckets, Effects &effects);
/// Completes the header of a message and adds it to `effects`; without effect if the peer is unreachable.
void sendMessage(Directory &directory, ServerId id, DirectoryMessage message, Effects &effects);
/// Returns the verdict on a packet of this agent's service, and updates the flow's entry.
Verdict decide(Directory &directory, const PacketInfo &packet, TimePoint now);
/// Decides again on every held packet; drops those past their deadline.
void releaseHeldPackets(Directory &directory, TimePoint now, Effects &effects);

} // namespace oriolelever::detail
