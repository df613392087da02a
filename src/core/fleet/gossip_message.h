#ifndef SISKINSTAGE_CORE_FLEET_GOSSIP_MESSAGE_H
#define SISKINSTAGE_CORE_FLEET_GOSSIP_MESSAGE_H

#include "core/fleet/member.h"
#include "core/records/history_start.h"
#include "core/requests/quarantine.h"
#include "core/requests/quota_message.h"
#include "core/targets/rate_limit.h"
#include "core/targets/report_kind.h"
#include "siskinstage/record.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskinstage {

/// Requests an ack from a member.
struct Ping {
  std::uint64_t Sequence = 0;
};

/// Requests that a member ping Target and forward its ack.
struct PingRequest {
  std::uint64_t Sequence = 0;
  Address Target;
};

/// Acknowledges a ping, or forwards such an ack.
struct Ack {
  std::uint64_t Sequence = 0;
};

/// Announces that a record of this revision is in force at the sender.
struct RecordUpdate {
  RecordKey Key;
  Revision Rev;
  std::string Text; ///< The record as JSON if short, else empty.
};

/// Requests the records that were applied lately at the receiver, except those
/// that the sender has.
struct RecordRequest {
  std::vector<std::uint32_t> Known; ///< See recordMark().
};

/// Reports on one target, or withdraws an earlier report.
struct TargetReport {
  ServiceName Service;
  TargetId Target;
  ReportKind Kind = ReportKind::Failing;
  /// Failures of the target since its last success; 0 withdraws a report.
  std::uint32_t Streak = 0;
};

/// Probability that a target is in a gray-failure episode, broadcast by a node
/// that has new evidence.
struct GrayEstimateUpdate {
  ServiceName Service;
  TargetId Target;
  std::uint32_t Percent = 0; ///< 1 to 99.
  /// Requests of the service at the sender; 0 if not known.
  std::uint32_t ArrivalsPerMinute = 0;
  /// Those of them that are not served.
  std::uint32_t UnservedPerMinute = 0;
};

/// The rate limit of a target, told by a node that has heard it.
struct RateLimitUpdate {
  ServiceName Service;
  TargetId Target;
  Incarnation Process; ///< Of the target.
  RateLimitState State;
};

/// Reports that a target crashed during a request.
struct CrashReport {
  RequestFingerprint Fingerprint;
  TargetId Target;
};

/// Requests the age of the receiver's confirmed view (see ConfirmedView).
struct ConfirmationRequest {
  std::uint64_t Sequence = 0;
  /// Highest revision of the platform's store that the sender has seen.
  Revision StoreRevision;
};

/// Responds to a ConfirmationRequest.
struct ConfirmationResponse {
  std::uint64_t Sequence = 0; ///< Of the request.
  /// Revision of the configuration's record that is applied at the sender.
  Revision Applied;
  /// Age of the sender's view, never less than it is; nothing if unconfirmed.
  std::optional<Millis> Age;
  /// Highest revision of the platform's store that the sender has seen.
  Revision StoreRevision;
};

using GossipBody =
    std::variant<Ping, PingRequest, Ack, RecordUpdate, TargetReport,
                 GrayEstimateUpdate, CrashReport, RateLimitUpdate,
                 ConfirmationRequest, ConfirmationResponse, QuotaRequest,
                 QuotaResponse, RecordRequest>;

/// Digest that a node sends while it lacks the records of the platform.
inline constexpr std::uint64_t NoRecordsDigest = 0;

/// One datagram between nodes.
struct GossipMessage {
  Member From;
  GossipBody Body;
  std::vector<Member> Updates;     ///< About members, in a bounded number.
  std::uint64_t RecordsDigest = 0; ///< Of all records in force at the sender.
  std::uint64_t MembersDigest = 0; ///< Of all live members at the sender.
  /// Set for a time after the platform has returned from an older copy.
  std::optional<EpochNotice> Epoch;
};

/// A message with its destination.
struct OutgoingGossip {
  Address To;
  GossipMessage Message;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_GOSSIP_MESSAGE_H
