#ifndef SISKINSTAGE_CORE_REQUESTS_SLOT_CAPACITY_H
#define SISKINSTAGE_CORE_REQUESTS_SLOT_CAPACITY_H

#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// The load it addresses: a third of the slots gone, targets that hang, slots
/// that other nodes use as well.
///
/// Learns how much work the slots of a service start per second for this node,
/// from the work started while requests were waiting.
class SlotCapacity {
public:
  /// Accounts for the time since the last call.
  /// \param Slots see Room.
  /// \param Waits whether requests have been waiting since the last call.
  void advance(Instant Now, std::uint32_t Slots, bool Waits);
  /// A request was given a slot.
  void started(Duration Work) { this->StartedWork += Work; }
  /// Work that is started per second, in seconds.
  [[nodiscard]] double rate() const {
    return this->UsableFraction * this->Slots;
  }

private:
  std::uint32_t Slots = 0;
  /// Work started in a second for each slot.
  double UsableFraction = 1;
  Instant Last;
  Duration WaitTime{};
  Duration StartedWork{};
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_SLOT_CAPACITY_H
