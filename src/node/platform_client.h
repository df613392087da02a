#ifndef SISKINSTAGE_NODE_PLATFORM_CLIENT_H
#define SISKINSTAGE_NODE_PLATFORM_CLIENT_H

#include "core/random.h"
#include "node/config_update.h"
#include "siskinstage/error.h"

#include <json/value.h>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Reads the platform: one thread watches the records if this node is one of
/// the few watchers of its failure domain, another reads the instance list. The
/// platform may be away or stale for hours; what is in force stays so
/// meanwhile.
class PlatformClient {
public:
  PlatformClient(NodeContext &Context, std::uint64_t Seed);

  /// Watches the records until the node stops.
  void watchRecords();
  /// Reads the instance list until the node stops.
  void readInstances();

private:
  NodeContext &Context;
  std::uint64_t Seed;

  Result<Json::Value> get(const std::string &Target, Duration Timeout);
  Result<std::uint64_t> watchOnce(std::uint64_t After);
  Result<void> readInstancesOnce();
  /// Time to the next reading of the list: short for watchers, else long.
  Duration instancePeriod(Random &Dice) const;
  /// Sleeps with full jitter before try number \p Failures.
  void backOff(int Failures, Random &Dice);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PLATFORM_CLIENT_H
