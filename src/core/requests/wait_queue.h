#ifndef SISKINSTAGE_CORE_REQUESTS_WAIT_QUEUE_H
#define SISKINSTAGE_CORE_REQUESTS_WAIT_QUEUE_H

#include "core/requests/arrival_order.h"
#include "core/requests/wait_rejection.h"
#include "core/requests/waiting_request.h"
#include "core/requests/worth_order.h"
#include "siskinstage/config.h"
#include "siskinstage/units.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace siskinstage {

/// The load it addresses: bursts of one kind of request, an account at 6 to 10
/// times its usual rate, callers that retry at once, a third of the slots gone.
///
/// Admission, order and rejection of the requests to one service at one node.
/// Every request passes through add() and next(), also while slots are free, so
/// that the shares of accounts and the estimate of capacity include it. Not
/// thread-safe.
class WaitQueue {
public:
  enum class OrderKind {
    Arrival, ///< First come, first served.
    Worth,   ///< See WorthOrder.
  };
  struct Settings {
    std::size_t MaxWaiting = config::MaxQueuePerService;
    std::uint64_t MaxBytes = config::MaxQueueBytesPerService;
    /// A request waits no longer than this.
    Duration MaxWait = config::MaxQueueWait;
    OrderKind Order = OrderKind::Arrival;
  };
  /// Whether a waiting request can use the slot that is free; a request may
  /// have tried the target before.
  using Fits = std::function<bool(WaitId)>;

  /// \param Seed for the spread of Retry-After.
  explicit WaitQueue(std::uint64_t Seed);
  /// Requests that wait stay in the queue.
  void configure(const Settings &New);

  /// Adds a request. \returns the requests that are removed for it, or are
  /// found to be too late; the new one may be among them.
  std::vector<Rejected> add(WaitingRequest Request, const Room &Space,
                            Instant Now);
  /// Removes the request that goes to a free slot, and counts its work as
  /// served. If no slot was found for it after all, add it again with the same
  /// arrival time.
  std::optional<WaitId> next(Instant Now);
  /// The same, limited to requests for which \p MayUse holds. It is called in
  /// the queue's order, for MaxFitsChecked requests at most.
  std::optional<WaitId> next(Instant Now, const Fits &MayUse);
  /// Removes the requests that can't be served in time any more.
  std::vector<Rejected> expire(const Room &Space, Instant Now);
  /// When expire() is due next; nothing while no request waits. It changes with
  /// each call of the other functions.
  [[nodiscard]] std::optional<Instant> nextExpiry() const;
  /// Removes a request whose caller is gone. No effect if it does not wait.
  void remove(WaitId Id);

  [[nodiscard]] std::size_t size() const { return this->Waiting.size(); }
  [[nodiscard]] std::uint64_t bytes() const { return this->HeldBytes; }

  /// Bounds the cost of next() where few requests can use a slot.
  static constexpr std::size_t MaxFitsChecked = 64;

private:
  Settings Limits;
  std::uint64_t Seed;
  std::variant<ArrivalOrder, WorthOrder> Order;
  std::unordered_map<std::uint64_t, WaitingRequest> Waiting;
  std::uint64_t HeldBytes = 0;
  Instant LastCall; ///< remove() and configure() take no time.

  void forget(WaitId Id);
  void forget(const std::vector<Rejected> &Gone);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_WAIT_QUEUE_H
