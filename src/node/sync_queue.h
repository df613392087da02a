#ifndef SISKINSTAGE_NODE_SYNC_QUEUE_H
#define SISKINSTAGE_NODE_SYNC_QUEUE_H

#include "core/bounded_ring.h"
#include "node/gossip_command.h"

#include <cstddef>
#include <optional>

namespace siskinstage {

/// Tasks of the sync thread. An announced record goes before comparisons of
/// whole tables: it is one read, and a configuration waits for it.
class SyncQueue {
public:
  /// \param Size places of each kind, a power of two.
  explicit SyncQueue(std::size_t Size) : Announced(Size), Comparisons(Size) {}

  /// \returns false if there was no place and \p Task is dropped.
  bool push(SyncTask Task) {
    return Task.TaskKind == SyncTask::Kind::OneRecord
               ? this->Announced.push(std::move(Task))
               : this->Comparisons.push(std::move(Task));
  }

  /// The next task; only one thread may call this or popAnnounced().
  std::optional<SyncTask> pop() {
    auto Task = this->popAnnounced();
    return Task ? std::move(Task) : this->Comparisons.pop();
  }

  std::optional<SyncTask> popAnnounced() { return this->Announced.pop(); }

private:
  BoundedRing<SyncTask> Announced;
  BoundedRing<SyncTask> Comparisons;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SYNC_QUEUE_H
