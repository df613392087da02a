#include "core/rate_limit_header.h"
#include "siskinstage/config.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

constexpr std::size_t MaxValueBytes = 40;

std::optional<double> parseRate(const std::string &Text) {
  double Rate = 0;
  if (Text.size() > MaxValueBytes ||
      !Poco::NumberParser::tryParseFloat(Text, Rate) || !std::isfinite(Rate) ||
      Rate <= 0)
    return std::nullopt;
  return std::clamp(Rate, config::MinTargetRate, config::MaxTargetRate);
}

} // namespace

tl::expected<std::optional<double>, std::string>
parseRateLimit(const std::vector<std::string> &Values) {
  std::optional<double> Lowest;
  for (const std::string &Value : Values) {
    const auto Rate = parseRate(Poco::trim(Value));
    if (Rate && (!Lowest || *Rate < *Lowest))
      Lowest = Rate;
  }
  if (!Lowest && !Values.empty())
    return tl::unexpected<std::string>(
        "found \"" + Values.front().substr(0, MaxValueBytes) +
        "\", allowed is a positive number of requests per second");
  return Lowest;
}

} // namespace siskinstage
