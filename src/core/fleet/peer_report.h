#ifndef SISKINSTAGE_CORE_FLEET_PEER_REPORT_H
#define SISKINSTAGE_CORE_FLEET_PEER_REPORT_H

#include "core/targets/report_kind.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// The latest report of another node of the group on one target.
struct PeerReport {
  Address From;
  FailureDomain Domain;
  ReportKind Kind = ReportKind::Failing;
  std::uint32_t Streak = 0;
  Instant At;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_PEER_REPORT_H
