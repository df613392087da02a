#ifndef SISKINSTAGE_NODE_FLEET_PEER_API_H
#define SISKINSTAGE_NODE_FLEET_PEER_API_H

#include "core/callers/http_refusal.h"
#include "core/requests/stored_response.h"
#include "node/callers/caller_request.h"
#include "siskinstage/error.h"

#include <json/value.h>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Prefix of the paths that only other nodes may request.
inline constexpr const char *PeerPathPrefix = "/.siskinstage/v1/peer/";

/// Serves another node's signed request:
///   peer/digests            digests of all record buckets
///   peer/revisions?n=N      kinds, names and revisions of one bucket
///   peer/bucket?n=N         the records of one bucket
///   peer/record?kind=&name= one record
///   peer/members            the table of members
HttpResult<StoredResponse> handlePeerRequest(NodeContext &Context,
                                             const CallerRequest &Request);

/// Sends a request to \p Peer. Request and response are signed.
/// \param Target path and query at the peer.
/// \returns an error if the peer can't be reached, or its response has a status
/// other than 200 or an invalid signature.
Result<Json::Value> queryPeer(NodeContext &Context, const Address &Peer,
                              const std::string &Target);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_PEER_API_H
