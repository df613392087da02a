#include "core/targets/target_notice.h"
#include "siskinstage/config.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>
#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>

namespace siskinstage {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr std::size_t MaxValueBytes = 64;

std::optional<double> parseNumber(const std::string &Text) {
  double Number = 0;
  if (Text.size() > MaxValueBytes ||
      !Poco::NumberParser::tryParseFloat(Text, Number) ||
      !std::isfinite(Number))
    return std::nullopt;
  return Number;
}

std::optional<double> parseRate(const std::string &Text) {
  const auto Rate = parseNumber(Text);
  if (!Rate || *Rate <= 0)
    return std::nullopt;
  return std::clamp(*Rate, config::MinTargetRate, config::MaxTargetRate);
}

/// Seconds until an HTTP date; negative if it has passed.
std::optional<double> secondsUntil(const std::string &Date,
                                   std::uint64_t WallMs) {
  constexpr double MillisPerSecond = 1000;
  constexpr std::string_view Example = "Sun, 06 Nov 1994 08:49:37 GMT";
  // The parser also accepts text that is no date.
  if (Date.size() != Example.size() || !Date.ends_with("GMT"))
    return std::nullopt;
  try {
    int Offset = 0;
    const Poco::DateTime Parsed = Poco::DateTimeParser::parse(
        Poco::DateTimeFormat::HTTP_FORMAT, Date, Offset);
    const double At =
        static_cast<double>(Parsed.timestamp().epochMicroseconds()) /
        MillisPerSecond;
    return (At - static_cast<double>(WallMs)) / MillisPerSecond;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

std::optional<Duration> parseRetryAfter(const std::string &Text,
                                        std::uint64_t WallMs) {
  if (Text.empty() || Text.size() > MaxValueBytes)
    return std::nullopt;
  const auto Number = parseNumber(Text);
  if (Number && *Number < 0)
    return std::nullopt;
  const auto Seconds = Number ? Number : secondsUntil(Text, WallMs);
  if (!Seconds)
    return std::nullopt;
  const std::chrono::duration<double> Longest = config::MaxBackOff;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(*Seconds, 0.0, Longest.count())));
}

std::string fault(const char *Field, const std::string &Value,
                  const char *Allowed) {
  return std::string("field ") + Field + ": found \"" +
         Value.substr(0, MaxValueBytes) + "\", allowed is " + Allowed;
}

void readRateLimit(const std::vector<std::string> &Values,
                   StatedNotices &Stated) {
  std::optional<double> Lowest;
  for (const std::string &Value : Values) {
    const auto Rate = parseRate(Poco::trim(Value));
    if (!Rate)
      Stated.Faults.push_back(fault(
          "rate limit", Value, "a positive number of requests per second"));
    else if (!Lowest || *Rate < *Lowest)
      Lowest = Rate;
  }
  if (Lowest)
    Stated.Items.emplace_back(RateLimitNotice{*Lowest});
  Stated.NoRateLimit = Values.empty();
}

void readRetryAfter(const std::vector<std::string> &Values,
                    std::uint64_t WallMs, StatedNotices &Stated) {
  Duration Longest{};
  for (const std::string &Value : Values) {
    const auto Length = parseRetryAfter(Poco::trim(Value), WallMs);
    if (!Length)
      Stated.Faults.push_back(
          fault("Retry-After", Value, "a number of seconds or an HTTP date"));
    else
      Longest = std::max(Longest, *Length);
  }
  if (Longest > Duration::zero())
    Stated.Items.emplace_back(BackOffNotice{Longest});
}

} // namespace

StatedNotices readNotices(const NoticeFields &Fields, int Status,
                          std::uint64_t WallMs) {
  StatedNotices Stated;
  readRateLimit(Fields.RateLimit, Stated);
  if (Status == ServiceUnavailable)
    readRetryAfter(Fields.RetryAfter, WallMs, Stated);
  if (Fields.Leaving)
    Stated.Items.emplace_back(LeavingNotice{});
  return Stated;
}

} // namespace siskinstage
