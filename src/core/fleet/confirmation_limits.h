#ifndef SISKINSTAGE_CORE_FLEET_CONFIRMATION_LIMITS_H
#define SISKINSTAGE_CORE_FLEET_CONFIRMATION_LIMITS_H

#include <chrono>
#include <cstddef>

/// Tunables of the confirmed view: how new the configuration of a node is known
/// to be.
namespace siskinstage::config {

using namespace std::chrono_literals;

/// Fraction of the revocation limit up to whose age of the view requests with
/// an API key are served. The rest is for the time from the decision until the
/// request has been sent.
inline constexpr double ServedViewFraction = 0.9;
/// A peer with an older view than this fraction of the limit is replaced by
/// another one: up to this age, requests must be served.
inline constexpr double UsefulViewFraction = 0.6;
/// The revocation limit that the periods below fit: with them the
/// view of any node is at most 2.7 s old, 1 s from the watcher's read, 0.5 s
/// and 1 s from the polls, and a read of up to 0.2 s.
inline constexpr std::chrono::milliseconds ReferenceRevocationLimit = 5s;
/// Period at which the first watcher reads the configuration from the store.
inline constexpr std::chrono::milliseconds FirstWatcherReadPeriod = 500ms;
/// The same for the other watchers.
inline constexpr std::chrono::milliseconds WatcherReadPeriod = 1s;
/// Period at which an entry node polls a watcher.
inline constexpr std::chrono::milliseconds EntryPollPeriod = 500ms;
/// Period at which any other node polls an entry node.
inline constexpr std::chrono::milliseconds NodePollPeriod = 1s;
/// Lower bound of these periods for lower limits: twice the tick of gossip.
inline constexpr std::chrono::milliseconds MinConfirmationPeriod = 100ms;
/// A watcher whose own reads have confirmed nothing for this many periods polls
/// other nodes.
inline constexpr int ReadPeriodsToPoll = 2;
/// After another peer had to be polled, the most preferred one is tried again
/// after this time: a lost member is removed from the plan within 1.5 s.
inline constexpr std::chrono::milliseconds PreferredPeerRetryTime = 3s;
/// Requests for which a response may still arrive: at the shortest usual period
/// of 500 ms a later one is older than the revocation limit.
inline constexpr std::size_t MaxUnansweredPolls = 10;
/// A node without a response for this many periods counts as cut off.
inline constexpr int PollPeriodsToCutOff = 3;
/// Confirmations that may wait for a record; more of them arrive only if the
/// record can't be applied for seconds.
inline constexpr std::size_t MaxPendingConfirmations = 8;

} // namespace siskinstage::config

#endif // SISKINSTAGE_CORE_FLEET_CONFIRMATION_LIMITS_H
