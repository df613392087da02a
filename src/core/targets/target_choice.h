#ifndef SISKINSTAGE_CORE_TARGETS_TARGET_CHOICE_H
#define SISKINSTAGE_CORE_TARGETS_TARGET_CHOICE_H

#include "core/targets/placement.h"

#include <optional>
#include <vector>

namespace siskinstage {

/// Why a request found no target.
struct Shortage {
  /// The request has targets left, but none with a slot for it.
  bool NoFreeSlot = false;
  /// A slot is free that another request may use.
  bool UsableByOthers = false;
  /// A target has a free slot, but what it states allows no request now.
  bool Restricted = false;
  /// A target that states no restriction is left; a slot may become free.
  bool UnrestrictedTarget = false;
};

/// Collects the targets that one request may be sent to now, and why it may not
/// be sent to the others. Addresses the load where targets have few slots, hang
/// or limit their rate.
class TargetChoice {
public:
  TargetChoice(const RequestTraits &Request, const UsualLatency &Usual,
               Instant Now, Random &Rng)
      : Request(Request), Usual(Usual), Now(Now), Rng(Rng) {}

  /// Evaluates one available target.
  /// \param Tried an earlier attempt of the request was sent to it.
  /// \param Restricts what it states restricts requests, see TargetNotices.
  void add(const PlacementTarget &Target, bool Tried, bool Restricts);
  [[nodiscard]] const std::vector<Candidate> &candidates() const {
    return this->Found;
  }
  /// Valid if there are no candidates.
  [[nodiscard]] const Shortage &shortage() const { return this->Reason; }

private:
  RequestTraits Request;
  UsualLatency Usual;
  Instant Now;
  Random &Rng;
  std::vector<Candidate> Found;
  Shortage Reason;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_TARGET_CHOICE_H
