#ifndef SISKINSTAGE_CORE_REQUESTS_START_SCHEDULE_H
#define SISKINSTAGE_CORE_REQUESTS_START_SCHEDULE_H

#include "core/requests/waiting_request.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace siskinstage {

/// Requests in the order of the latest time at which each must start, in steps
/// of Step; within a step, those with the highest worth first. Changes cost
/// O(log n), and the search for what starts too late costs O(steps): at most
/// the longest wait divided by Step.
class StartSchedule {
public:
  struct Item {
    WaitId Id;
    Instant LatestStart;
    double Worth = 0; ///< What its loss costs, relative to its work.
    Duration Work{};
  };

  void add(const Item &New);
  void remove(const Item &Old);
  [[nodiscard]] bool empty() const { return this->Steps.empty(); }
  [[nodiscard]] Duration work() const { return this->TotalWork; }
  /// Work of the requests that start before one with this latest start.
  [[nodiscard]] Duration workBefore(Instant LatestStart) const;
  /// Calls \p Visit in order until it returns true.
  void visit(const std::function<bool(WaitId)> &Visit) const;
  /// A request whose latest start is before \p Now, if any.
  [[nodiscard]] std::optional<WaitId> overdue(Instant Now) const;
  /// The start of the step after which overdue() has a request.
  [[nodiscard]] std::optional<Instant> nextOverdue() const;
  /// The request to remove first if some start too late.
  /// \param Rate work started per second, in seconds.
  /// \param Ahead time until the first of them starts.
  [[nodiscard]] std::optional<WaitId> excess(double Rate, Duration Ahead,
                                             Instant Now) const;
  /// The request with the least worth, if any.
  [[nodiscard]] std::optional<WaitId> least() const;

  static constexpr Duration Step = std::chrono::milliseconds(25);

private:
  struct StepItems {
    std::set<std::pair<double, WaitId>> ByWorth;
    Duration Work{};
    Duration LongestWork{}; ///< Of all requests that were added.
  };
  std::map<std::int64_t, StepItems> Steps;
  Duration TotalWork{};
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_START_SCHEDULE_H
