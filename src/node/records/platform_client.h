#ifndef SISKINSTAGE_NODE_RECORDS_PLATFORM_CLIENT_H
#define SISKINSTAGE_NODE_RECORDS_PLATFORM_CLIENT_H

#include "core/random.h"
#include "node/records/config_update.h"
#include "siskinstage/error.h"

#include <json/value.h>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Client of the platform. One thread watches the records while this node is
/// a watcher, another reads the instance list. The platform may be unavailable
/// or stale for hours; the applied configuration stays in effect meanwhile.
class PlatformClient {
public:
  PlatformClient(NodeContext &Context, std::uint64_t Seed);

  /// Watches the records until Context.Stop is set.
  void watchRecords();
  /// Reads the instance list periodically until Context.Stop is set.
  void readInstances();

private:
  NodeContext &Context;
  std::uint64_t Seed;

  Result<Json::Value> get(const std::string &Target, Duration Timeout);
  /// Waits for records newer than version \p After and posts them.
  /// \returns the new version.
  Result<std::uint64_t> watchOnce(std::uint64_t After);
  Result<void> readInstancesOnce();
  /// Time until the next read of the instance list; longer if this node is not
  /// a watcher.
  Duration instancePeriod(Random &Generator) const;
  /// Sleeps before the next attempt: exponential backoff with jitter after
  /// \p Failures consecutive failures.
  void backOff(int Failures, Random &Generator);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_PLATFORM_CLIENT_H
