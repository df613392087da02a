#ifndef SISKINSTAGE_CORE_TARGETS_UNSERVED_FRACTION_H
#define SISKINSTAGE_CORE_TARGETS_UNSERVED_FRACTION_H

#include "core/decayed_sum.h"
#include "siskinstage/config.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstddef>
#include <map>

namespace siskinstage {

/// The requests of one service at one node.
struct ServiceLoad {
  double ArrivalsPerSecond = 0; ///< 0 if not known.
  double UnservedPerSecond = 0;
};

/// Estimates the fraction of a service's requests that the fleet does not
/// serve. A node alone gets too few requests of a service to tell; the others
/// tell their loads along with their estimates of gray targets, which they send
/// while requests fail.
class UnservedFraction {
public:
  void addArrival(Instant Now) { this->Arrivals.add(1, Now); }
  void addUnserved(Instant Now) { this->Unserved.add(1, Now); }
  /// Takes back a request that was counted and served in the end.
  void takeBackUnserved(Instant Now) { this->Unserved.add(-1, Now); }
  /// The load of this node.
  [[nodiscard]] ServiceLoad own(Instant Now) const;
  /// Replaces the load of another node.
  void adopt(const Address &From, const ServiceLoad &Load, Instant Now);
  /// \param Nodes number of nodes that serve the service. Those that have told
  ///              nothing lately count like the others, without failures.
  [[nodiscard]] double value(std::size_t Nodes, Instant Now) const;

private:
  struct Told {
    ServiceLoad Load;
    Instant At;
  };
  DecayedSum Arrivals{config::UnservedDecayTime};
  DecayedSum Unserved{config::UnservedDecayTime};
  std::map<Address, Told> Others;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_UNSERVED_FRACTION_H
