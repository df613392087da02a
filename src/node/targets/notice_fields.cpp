#include "node/targets/notice_fields.h"
#include "net/http_io.h"
#include "net/wall_clock.h"

#include <algorithm>

namespace siskinstage {

StatedNotices statedNotices(const Dialect &Headers,
                            const Poco::Net::HTTPResponse &Head) {
  constexpr int Misdirected = 421;
  if (Head.getStatus() == Misdirected)
    return {};
  const auto ValuesOf = [&](const std::string &Name) {
    return Name.empty() ? std::vector<std::string>() : headerValues(Head, Name);
  };
  const auto Leaving = ValuesOf(Headers.Leaving);
  const bool Leaves = std::find(Leaving.begin(), Leaving.end(),
                                Headers.LeavingValue) != Leaving.end();
  return readNotices(
      {ValuesOf(Headers.RateLimit), ValuesOf(Headers.RetryAfter), Leaves},
      Head.getStatus(), wallClockMs());
}

} // namespace siskinstage
