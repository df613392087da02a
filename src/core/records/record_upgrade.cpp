#include "core/records/record_upgrade.h"

namespace siskinstage {

namespace {

constexpr double SecondsPerMinute = 60.0;

Json::Value upgradeTarget(const Json::Value &Old) {
  if (!Old.isString())
    return Old;
  Json::Value New(Json::objectValue);
  New["id"] = Old;
  New["address"] = Old;
  return New;
}

void upgradeTargets(Json::Value &Record) {
  if (!Record["targets"].isArray())
    return;
  for (Json::Value &Target : Record["targets"])
    Target = upgradeTarget(Target);
}

void upgradeRate(Json::Value &Record) {
  if (!Record["rate_per_minute"].isNumeric())
    return;
  Record["rate_per_s"] =
      Record["rate_per_minute"].asDouble() / SecondsPerMinute;
  Record.removeMember("rate_per_minute");
}

} // namespace

Json::Value upgradeSchema1(const Json::Value &Old) {
  Json::Value New = Old;
  New["schema"] = 2;
  if (New.isMember("targets"))
    upgradeTargets(New);
  if (New.isMember("rate_per_minute"))
    upgradeRate(New);
  return New;
}

} // namespace siskinstage
