#ifndef SISKINSTAGE_NODE_FLEET_SHARED_CONFIRMED_VIEW_H
#define SISKINSTAGE_NODE_FLEET_SHARED_CONFIRMED_VIEW_H

#include "core/fleet/confirmed_view.h"

#include <atomic>
#include <mutex>
#include <utility>

namespace siskinstage {

/// The confirmed view of a node, which all of its threads use.
class SharedConfirmedView {
public:
  /// Figures for operators, since the start of the node.
  struct Counts {
    std::atomic<std::uint64_t> Reads{0};    ///< Of the store, that confirmed.
    std::atomic<std::uint64_t> OldReads{0}; ///< Of an old state of the store.
    std::atomic<std::uint64_t> Polls{0};
    std::atomic<std::uint64_t> PollResponses{0};
  };

  /// Calls \p Use with the view under the lock. \returns its result.
  template <typename Function> auto with(Function Use) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return Use(this->View);
  }
  /// A copy of the view.
  [[nodiscard]] ConfirmedView get() const {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->View;
  }
  /// Notes that a read of the store that began at \p Start has confirmed the
  /// view.
  void noteRead(Instant Start) {
    ++this->Totals.Reads;
    this->LastRead.store(Start.time_since_epoch().count());
  }
  /// Start of the last read of the store that confirmed the view.
  [[nodiscard]] Instant lastRead() const {
    return Instant(Duration(this->LastRead.load()));
  }
  /// Whether this node is no entry since other nodes may have a younger view.
  [[nodiscard]] bool withdrawn() const { return this->Withdrawn.load(); }
  void setWithdrawn(bool Value) { this->Withdrawn.store(Value); }
  [[nodiscard]] Counts &counts() { return this->Totals; }

private:
  mutable std::mutex Lock;
  ConfirmedView View;
  std::atomic<Duration::rep> LastRead{0};
  std::atomic<bool> Withdrawn{false};
  Counts Totals;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_SHARED_CONFIRMED_VIEW_H
