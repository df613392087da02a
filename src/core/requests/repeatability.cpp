#include "core/requests/repeatability.h"

#include <algorithm>
#include <array>

namespace siskinstage {

namespace {

constexpr std::array<const char *, 6> IdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

Repeatability fromFlag(bool Repeatable) {
  return Repeatable ? Repeatability::Repeatable : Repeatability::AtMostOnce;
}

} // namespace

HttpResult<Repeatability>
decideRepeatability(const std::optional<std::string> &Header,
                    std::optional<bool> RouteSetting,
                    const std::string &Method) {
  if (Header && *Header != "yes" && *Header != "no")
    return refuse(400, "header Siskinstage-Repeatable is \"" + *Header +
                           "\", allowed is yes or no");
  if (RouteSetting == false)
    return Repeatability::AtMostOnce;
  if (Header)
    return fromFlag(*Header == "yes");
  if (RouteSetting)
    return fromFlag(*RouteSetting);
  const bool Idempotent =
      std::find(IdempotentMethods.begin(), IdempotentMethods.end(), Method) !=
      IdempotentMethods.end();
  return fromFlag(Idempotent);
}

} // namespace siskinstage
