#ifndef SISKINSTAGE_NODE_SNAPSHOT_HOLDER_H
#define SISKINSTAGE_NODE_SNAPSHOT_HOLDER_H

#include <atomic>
#include <memory>

namespace siskinstage {

struct Snapshot;

/// Holds the latest snapshot; the decision thread writes it, all others read.
class SnapshotHolder {
public:
  explicit SnapshotHolder(std::shared_ptr<const Snapshot> First)
      : Current(std::move(First)) {}

  [[nodiscard]] std::shared_ptr<const Snapshot> get() const {
    return this->Current.load(std::memory_order_acquire);
  }
  void set(std::shared_ptr<const Snapshot> New) {
    this->Current.store(std::move(New), std::memory_order_release);
  }

private:
  std::atomic<std::shared_ptr<const Snapshot>> Current;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SNAPSHOT_HOLDER_H
