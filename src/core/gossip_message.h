#ifndef SISKINSTAGE_CORE_GOSSIP_MESSAGE_H
#define SISKINSTAGE_CORE_GOSSIP_MESSAGE_H

#include "core/member.h"
#include "core/quarantine.h"
#include "core/report_kind.h"
#include "siskinstage/record.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace siskinstage {

/// Asks a member for a sign of life.
struct Ping {
  std::uint64_t Sequence = 0;
};

/// Asks a member to ping \p Target and to pass its ack on.
struct PingRequest {
  std::uint64_t Sequence = 0;
  Address Target;
};

/// Answers a ping, or passes such an answer on.
struct Ack {
  std::uint64_t Sequence = 0;
};

/// Announces that a record of this revision is in force at the sender.
struct RecordUpdate {
  RecordKey Key;
  Revision Rev;
  std::string Text; ///< The record as JSON if it is short, else empty.
};

/// A noteworthy observation of one target.
struct TargetReport {
  ServiceName Service;
  TargetId Target;
  ReportKind Kind = ReportKind::Failing;
  /// Failures seen there since the last success; 0 takes a report back.
  std::uint32_t Streak = 0;
};

/// How likely a target is in a gray spell, told by a node that just saw
/// evidence of it.
struct GrayEstimateUpdate {
  ServiceName Service;
  TargetId Target;
  std::uint32_t Percent = 0; ///< 1 to 99.
};

/// Tells that a target broke off at a request.
struct CrashReport {
  RequestFingerprint Fingerprint;
  TargetId Target;
};

using GossipBody = std::variant<Ping, PingRequest, Ack, RecordUpdate,
                                TargetReport, GrayEstimateUpdate, CrashReport>;

/// One datagram between nodes.
struct GossipMessage {
  Member From;
  GossipBody Body;
  std::vector<Member> Updates;     ///< News of members, in a bounded number.
  std::uint64_t RecordsDigest = 0; ///< Of all records in force at the sender.
  std::uint64_t MembersDigest = 0; ///< Of all members known to the sender.
};

/// A message with its destination.
struct OutgoingGossip {
  Address To;
  GossipMessage Message;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_GOSSIP_MESSAGE_H
