#ifndef SISKINSTAGE_CORE_TARGETS_TARGET_NOTICE_H
#define SISKINSTAGE_CORE_TARGETS_TARGET_NOTICE_H

#include "siskinstage/units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace siskinstage {

/// The target accepts so many requests per second from all nodes together.
struct RateLimitNotice {
  double PerSecond = 0;
};

/// The target wants no request from this node for so long.
struct BackOffNotice {
  Duration Length{};
};

/// The target accepts no new requests.
struct LeavingNotice {};

/// What a target states about the requests that it accepts.
using TargetNotice =
    std::variant<RateLimitNotice, BackOffNotice, LeavingNotice>;

/// The values of the headers of a response that state notices.
struct NoticeFields {
  std::vector<std::string> RateLimit;
  std::vector<std::string> RetryAfter;
  bool Leaving = false;
};

/// The notices that one response states.
struct StatedNotices {
  std::vector<TargetNotice> Items;
  /// Invalid values, each with the name of its field. They change nothing.
  std::vector<std::string> Faults;
  /// The response says that there is no rate limit.
  bool NoRateLimit = true;

  /// The first notice of type T, or null.
  template <typename T> [[nodiscard]] const T *find() const {
    for (const TargetNotice &Item : this->Items)
      if (const auto *Found = std::get_if<T>(&Item))
        return Found;
    return nullptr;
  }
};

/// Reads the notices of a response.
/// - A rate limit is a positive decimal number, brought into the range from
///   config::MinTargetRate to config::MaxTargetRate; of several, the lowest one
///   counts.
/// - Retry-After is a number of seconds or an HTTP date, and only read from a
///   response with status 503; at most config::MaxBackOff, and of several the
///   longest one counts.
/// \param WallMs the current time, in milliseconds since the Unix epoch.
StatedNotices readNotices(const NoticeFields &Fields, int Status,
                          std::uint64_t WallMs);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_TARGET_NOTICE_H
