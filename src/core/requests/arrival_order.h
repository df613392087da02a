#ifndef SISKINSTAGE_CORE_REQUESTS_ARRIVAL_ORDER_H
#define SISKINSTAGE_CORE_REQUESTS_ARRIVAL_ORDER_H

#include "core/requests/wait_rejection.h"
#include "core/requests/waiting_request.h"
#include "siskinstage/units.h"

#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace siskinstage {

/// First come, first served. A request that is expected to start too late is
/// rejected on arrival.
class ArrivalOrder {
public:
  explicit ArrivalOrder(Duration MaxWait) : MaxWait(MaxWait) {}

  std::vector<Rejected> add(const WaitingRequest &Request, const Room &Space,
                            Instant Now);
  void insert(const WaitingRequest &Request, Instant Now);
  void remove(const WaitingRequest &Request, Instant Now);
  /// A request was given a slot.
  void start(const WaitingRequest &Request, Instant Now);
  /// Calls \p Visit with waiting requests in order until it returns true.
  void visit(const std::function<bool(WaitId)> &Visit) const;
  /// The request to drop when there are too many, and its Retry-After.
  std::optional<Rejected> dropOne(const WaitingRequest &New, Instant Now);
  std::vector<Rejected> expire(const Room &Space, Instant Now);
  [[nodiscard]] std::optional<Instant> nextExpiry() const;

private:
  using Position = std::pair<Instant, WaitId>;
  Duration MaxWait;
  std::set<Position> ByArrival;
  std::set<Position> ByLatestStart;
  Duration WaitingWork{};
  Room LastSpace;

  [[nodiscard]] Instant latestStart(const WaitingRequest &Request) const;
  /// Time until the requests that wait now have been started.
  [[nodiscard]] Duration waitTime() const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_ARRIVAL_ORDER_H
