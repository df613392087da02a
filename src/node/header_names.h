#ifndef SISKINSTAGE_NODE_HEADER_NAMES_H
#define SISKINSTAGE_NODE_HEADER_NAMES_H

/// Names of the project's own headers, on connections to callers, targets and
/// other nodes.
namespace siskinstage::header {

inline constexpr const char *Deadline = "Siskinstage-Deadline-Ms";
inline constexpr const char *Repeatable = "Siskinstage-Repeatable";
inline constexpr const char *Account = "Siskinstage-Account";
/// The API key of a client account.
inline constexpr const char *ApiKey = "Siskinstage-Api-Key";
/// Name of the account of the API key, from a node to a target.
inline constexpr const char *AccountName = "Siskinstage-Account-Name";
inline constexpr const char *Outcome = "Siskinstage-Outcome";
inline constexpr const char *RequestId = "Siskinstage-Request-Id";
inline constexpr const char *Hops = "Siskinstage-Hops";
inline constexpr const char *Leaving = "Siskinstage-Leaving";
inline constexpr const char *InFlight = "Siskinstage-In-Flight";
/// Requests per second that a target accepts from all nodes together.
inline constexpr const char *RateLimit = "Siskinstage-Rate-Limit";
/// Digest of the API key of a request that one node forwards to another.
inline constexpr const char *KeyDigest = "Siskinstage-Key-Digest";
inline constexpr const char *PeerTime = "Siskinstage-Peer-Time";
inline constexpr const char *PeerMac = "Siskinstage-Peer-Mac";
inline constexpr const char *IdempotencyKey = "Idempotency-Key";

} // namespace siskinstage::header

#endif // SISKINSTAGE_NODE_HEADER_NAMES_H
