/// Steps of the directory that its source files share.
#pragma once

#include "oriolelever/directory.h"

namespace oriolelever::detail {

/// The peer's record in the current roster if it is reachable, else null.
const RouteServer *reachablePeer(const Directory &directory, ServerId id);
/// This agent's own record in the current roster, or null.
const RouteServer *ownRecord(const Directory &directory);
bool ownsBucket(const Directory &directory, BucketIndex bucket);
/// Every reachable peer has granted the bucket.
bool holdsBucket(const Directory &directory, BucketIndex bucket);
BucketIndex flowBucket(const Directory &directory, const Endpoint &caller);

/// Puts a flow in; a flow of the local server is never moved by what another agent says.
void putFlow(Directory &directory, const Endpoint &caller, ServerId holder, bool certain, TimePoint now);
void eraseFlow(Directory &directory, const Endpoint &caller);
/// Takes an entry out of the count of local flows.
void uncountFlow(Directory &directory, const FlowEntry &entry);
/// The flow's end was seen. A UDP flow that is `closing` is only quiet and may go on.
bool hasEnded(const Directory &directory, const FlowEntry &entry);

void setGranted(Directory &directory, PeerState &peer, BucketIndex bucket, bool granted);
/// Another agent may place flows of the bucket from now on, so nothing that is known of it is complete.
void forgetBucket(Directory &directory, BucketIndex bucket);
/// Asks all peers for the bucket again; true while some have not answered.
bool isVerifying(Directory &directory, BucketIndex bucket);
void startVerifying(Directory &directory, BucketIndex bucket);
/// Notices a pause beyond the lease: grants may have passed to others, and waiting packets may be old.
void checkLease(Directory &directory, TimePoint now);
/// Gives up every grant and asks again for the buckets that it owns.
void dropGrants(Directory &directory);
/// Opens questions to `peer` about the owned buckets that it has not granted.
void openAsks(Directory &directory, PeerState &peer);
/// Sends the next attempt of the open questions to `peer` if its time has come.
void sendAsk(Directory &directory, ServerId id, PeerState &peer, TimePoint now, Effects &effects);
/// The agent that keeps the copies of `server`: the next reachable one in the order of ids.
ServerId keeperOf(const ServiceRoute &route, ServerId server);
/// Sends the next copies of local flows to the agent that keeps them.
void sendCopies(Directory &directory, TimePoint now, Effects &effects);
void takeCopy(Directory &directory, ServerId from, const CopyMessage &copy, TimePoint now, Effects &effects);
void sendLoad(Directory &directory, ServerId id, bool lostBuckets, Effects &effects);
void sendMessage(Directory &directory, ServerId id, DirectoryMessage message, Effects &effects);
/// The verdict on a packet of this agent's service.
Verdict decide(Directory &directory, const PacketInfo &packet, TimePoint now);
/// Decides again on the held packets whose bucket can be decided now.
void releaseHeld(Directory &directory, TimePoint now, Effects &effects);

} // namespace oriolelever::detail
