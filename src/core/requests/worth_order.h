#ifndef SISKINSTAGE_CORE_REQUESTS_WORTH_ORDER_H
#define SISKINSTAGE_CORE_REQUESTS_WORTH_ORDER_H

#include "core/requests/account_shares.h"
#include "core/requests/deferred_work.h"
#include "core/requests/demand_by_worth.h"
#include "core/requests/served_fractions.h"
#include "core/requests/slot_capacity.h"
#include "core/requests/start_schedule.h"
#include "core/requests/wait_rejection.h"
#include "core/requests/waiting_request.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace siskinstage {

/// The load it addresses: more work than the slots can do in time.
///
/// Keeps the requests that can all meet their objectives, and starts them in
/// the order of the time left. When not all can, the one that costs callers
/// least is put behind the others, where it may still meet its deadline, or is
/// rejected if it can't. What a loss costs is estimated by priority and work,
/// less for accounts above their share, more where a kind or account starves.
class WorthOrder {
public:
  WorthOrder(Duration MaxWait, std::uint64_t Seed)
      : MaxWait(MaxWait), Deferred(Seed) {}

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
  struct Entry {
    StartSchedule::Item Place;
    Instant LastStart;    ///< After it, the deadline is missed.
    bool Late = false;    ///< Expected to miss its objective.
    bool Favored = false; ///< As its kind or account starves.
    double Worth = 0;     ///< While it is expected to meet its objective.
    AccountName Account;
    std::uint32_t Priority = 0;
  };

  Duration MaxWait;
  std::unordered_map<std::uint64_t, Entry> Entries;
  StartSchedule InTime;
  StartSchedule Late;
  SlotCapacity Capacity;
  AccountShares Shares;
  ServedFractions<std::uint32_t> ByPriority;
  ServedFractions<AccountName> ByAccount;
  DeferredWork Deferred;
  DemandByWorth InTimeDemand;
  std::uint32_t Slots = 0;
  Instant Checked;
  Instant NextSweep;

  void advance(Instant Now);
  [[nodiscard]] double worth(const WaitingRequest &Request, Instant Now) const;
  /// Work per second left over by the requests that meet their objectives.
  [[nodiscard]] double spareRate(Instant Now) const;
  void countAdmitted(const Entry &Of, int Count, Instant Now);
  /// Whether requests that are worth more will probably keep it from starting
  /// in time.
  [[nodiscard]] bool isCrowdedOut(const Entry &New, Instant Now) const;
  void postpone(WaitId Id, Instant Now);
  Rejected drop(WaitId Id, Rejected::Reason Why, Instant Now);
  std::vector<Rejected> settle(std::optional<WaitId> New, Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_WORTH_ORDER_H
