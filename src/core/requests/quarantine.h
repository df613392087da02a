#ifndef SISKINSTAGE_CORE_REQUESTS_QUARANTINE_H
#define SISKINSTAGE_CORE_REQUESTS_QUARANTINE_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace siskinstage {

/// Hash of a request, with its body but without its idempotency key.
struct RequestFingerprint {
  std::uint64_t Value = 0;
  bool operator==(const RequestFingerprint &) const = default;
};

/// Tracks requests during which targets crashed. A request during which several
/// targets crashed is rejected: the request is at fault and not the targets.
/// One that a target served recently is not suspected: it was merely in flight
/// when its target crashed.
class Quarantine {
public:
  /// Records that \p Target closed the connection during the request.
  /// \returns true if this crash is new.
  bool addCrash(RequestFingerprint Fingerprint, const TargetId &Target,
                Instant Now);
  /// Records that a target ran the request and responded without a failure.
  void addResponse(RequestFingerprint Fingerprint, Instant Now);
  [[nodiscard]] bool isQuarantined(RequestFingerprint Fingerprint,
                                   Instant Now) const;
  [[nodiscard]] std::size_t size() const { return this->Suspects.size(); }

private:
  /// A request during which targets crashed.
  struct Suspect {
    std::set<TargetId> Targets;
    Instant LastCrash;
  };
  std::unordered_map<std::uint64_t, Suspect> Suspects;
  /// Requests with a recent response, in two generations: when the current one
  /// is full or too old, it replaces the older one.
  std::unordered_set<std::uint64_t> RecentResponses;
  std::unordered_set<std::uint64_t> OlderResponses;
  Instant GenerationStart;

  void removeExpired(Instant Now);
  [[nodiscard]] bool hasRecentResponse(RequestFingerprint Fingerprint) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_QUARANTINE_H
