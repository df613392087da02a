#ifndef SISKINSTAGE_NODE_PEER_API_H
#define SISKINSTAGE_NODE_PEER_API_H

#include "core/http_refusal.h"
#include "core/stored_answer.h"
#include "node/caller_request.h"
#include "siskinstage/error.h"

#include <json/value.h>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Start of the paths that only other nodes may ask.
inline constexpr const char *PeerPathPrefix = "/.siskinstage/v1/peer/";

/// Answers another node's signed question:
///   peer/digests            digests of all buckets of records
///   peer/bucket?n=N         the records of one bucket
///   peer/record?kind=&name= one record
///   peer/members            the table of members
HttpResult<StoredAnswer> handlePeerRequest(NodeContext &Context,
                                           const CallerRequest &Request);

/// Asks \p Peer; both question and answer are signed.
Result<Json::Value> queryPeer(NodeContext &Context, const Address &Peer,
                              const std::string &Target);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PEER_API_H
