#ifndef SISKINSTAGE_CORE_QUARANTINE_H
#define SISKINSTAGE_CORE_QUARANTINE_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace siskinstage {

/// Hash of what a request asks for, with its body but without its key.
struct RequestFingerprint {
  std::uint64_t Value = 0;
  bool operator==(const RequestFingerprint &) const = default;
};

/// Remembers requests at which connections to targets broke. One that broke
/// several targets and was not answered of late is refused: it is the request
/// that is sick, not the targets. A request that was answered a while ago is
/// innocent: it only was at a target when that broke.
class Quarantine {
public:
  /// Notes that \p Target broke off at the request.
  /// \returns whether this was not known yet.
  bool addCrash(RequestFingerprint Print, const TargetId &Target, Instant Now);
  /// A target has answered the request.
  void addResponse(RequestFingerprint Print, Instant Now);
  [[nodiscard]] bool isQuarantined(RequestFingerprint Print, Instant Now) const;
  [[nodiscard]] std::size_t size() const { return this->Suspects.size(); }

private:
  /// What is held against one request.
  struct Suspect {
    std::set<TargetId> Targets;
    Instant LastCrash;
  };
  std::unordered_map<std::uint64_t, Suspect> Suspects;
  /// Requests answered of late, in two generations.
  std::unordered_set<std::uint64_t> Innocent;
  std::unordered_set<std::uint64_t> InnocentBefore;
  Instant GenerationSince;

  void forgetOld(Instant Now);
  [[nodiscard]] bool isInnocent(RequestFingerprint Print) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_QUARANTINE_H
