#ifndef SISKINSTAGE_NODE_RECORDS_SHARED_HISTORY_START_H
#define SISKINSTAGE_NODE_RECORDS_SHARED_HISTORY_START_H

#include "core/records/history_start.h"

#include <mutex>

namespace siskinstage {

/// HistoryStart for the threads of a node.
class SharedHistoryStart {
public:
  void note(HistoryEpoch Epoch, Instant Noticed) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Start.note(Epoch, Noticed);
  }
  [[nodiscard]] std::optional<Instant> noticed(HistoryEpoch Epoch) const {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Start.noticed(Epoch);
  }
  [[nodiscard]] std::optional<EpochNotice> notice(Instant Now,
                                                  Duration MaxAge) const {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Start.notice(Now, MaxAge);
  }

private:
  mutable std::mutex Lock;
  HistoryStart Start;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_SHARED_HISTORY_START_H
