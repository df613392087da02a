#include "core/repeatability.h"

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
decideRepeatability(const std::optional<std::string> &Mark,
                    std::optional<bool> RouteSays, const std::string &Method) {
  if (Mark && *Mark != "yes" && *Mark != "no")
    return refuse(400, "header Siskinstage-Repeatable is \"" + *Mark +
                           "\", allowed is yes or no");
  if (RouteSays == false)
    return Repeatability::AtMostOnce;
  if (Mark)
    return fromFlag(*Mark == "yes");
  if (RouteSays)
    return fromFlag(*RouteSays);
  const bool Idempotent =
      std::find(IdempotentMethods.begin(), IdempotentMethods.end(), Method) !=
      IdempotentMethods.end();
  return fromFlag(Idempotent);
}

} // namespace siskinstage
