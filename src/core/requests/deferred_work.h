#ifndef SISKINSTAGE_CORE_REQUESTS_DEFERRED_WORK_H
#define SISKINSTAGE_CORE_REQUESTS_DEFERRED_WORK_H

#include "core/random.h"
#include "siskinstage/units.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace siskinstage {

/// The load it addresses: callers that retry at once, all of them together.
///
/// Plans when rejected requests may return, for their Retry-After: each gets a
/// place after the others of its priority and those of higher ones, in the
/// order in which there will be capacity for them.
class DeferredWork {
public:
  explicit DeferredWork(std::uint64_t Seed) : Rng(Seed) {}

  /// \param Backlog time until the requests that wait now have been started.
  /// \param SpareRate work per second that no other request asks for.
  Duration place(std::uint32_t Priority, Duration Work, Duration Backlog,
                 double SpareRate, Instant Now);

private:
  Random Rng;
  Instant Drained;
  /// Work of the requests that are to return, in seconds, by priority.
  std::map<std::uint32_t, double> Returning;

  void drain(double SpareRate, Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_DEFERRED_WORK_H
