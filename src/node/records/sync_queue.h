#ifndef SISKINSTAGE_NODE_RECORDS_SYNC_QUEUE_H
#define SISKINSTAGE_NODE_RECORDS_SYNC_QUEUE_H

#include "core/bounded_ring.h"
#include "node/fleet/gossip_command.h"

#include <cstddef>
#include <optional>

namespace siskinstage {

/// Tasks of the sync thread. Reading one announced record takes priority over
/// comparing all records or members: it is a single read, and a configuration
/// change waits for it.
class SyncQueue {
public:
  /// \param Size capacity of each of the two queues, a power of two.
  explicit SyncQueue(std::size_t Size) : Announced(Size), Comparisons(Size) {}

  /// \returns false if the queue was full and \p Task was dropped.
  bool push(SyncTask Task) {
    return Task.TaskKind == SyncTask::Kind::OneRecord
               ? this->Announced.push(std::move(Task))
               : this->Comparisons.push(std::move(Task));
  }

  /// The next task. pop() and popAnnounced() may be called by one thread only.
  std::optional<SyncTask> pop() {
    auto Task = this->popAnnounced();
    return Task ? std::move(Task) : this->Comparisons.pop();
  }

  /// The next task that reads an announced record.
  std::optional<SyncTask> popAnnounced() { return this->Announced.pop(); }

private:
  BoundedRing<SyncTask> Announced;
  BoundedRing<SyncTask> Comparisons;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_SYNC_QUEUE_H
