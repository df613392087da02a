#ifndef SISKINSTAGE_NODE_TARGETS_SLOT_WAIT_H
#define SISKINSTAGE_NODE_TARGETS_SLOT_WAIT_H

#include "core/requests/waiting_request.h"
#include "node/targets/gate_rejection.h"
#include "node/targets/placement_params.h"
#include "node/targets/target_lease.h"

#include <functional>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace siskinstage {

class ServiceGate;
class SnapshotHolder;

/// A request's wait for a slot. It leaves the queue when this is destroyed; a
/// slot that it got meanwhile is released.
class SlotWait {
public:
  using Result = tl::expected<TargetLease, GateRejection>;

  /// What the gate keeps of a waiting request. Its lock guards Decided.
  struct Entry {
    WaitId Id;
    PlacementParams Request;
    const SnapshotHolder *Snapshots = nullptr;
    /// Called once, without the lock, when Decided is set.
    std::function<void()> Wake;
    std::optional<Result> Decided;
  };

  SlotWait(std::shared_ptr<ServiceGate> Gate, std::shared_ptr<Entry> Waiting)
      : Gate(std::move(Gate)), Waiting(std::move(Waiting)) {}
  SlotWait(SlotWait &&) noexcept = default;
  SlotWait &operator=(SlotWait &&) = delete;
  SlotWait(const SlotWait &) = delete;
  SlotWait &operator=(const SlotWait &) = delete;
  ~SlotWait();

  /// \returns the slot or the rejection, or nothing while the request waits.
  std::optional<Result> take();

private:
  std::shared_ptr<ServiceGate> Gate; ///< Null after a move.
  std::shared_ptr<Entry> Waiting;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_SLOT_WAIT_H
