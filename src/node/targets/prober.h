#ifndef SISKINSTAGE_NODE_TARGETS_PROBER_H
#define SISKINSTAGE_NODE_TARGETS_PROBER_H

#include "core/random.h"
#include "siskinstage/units.h"

namespace Poco::Net {
class HTTPResponse;
} // namespace Poco::Net

namespace siskinstage {

struct NodeContext;
struct ServiceView;
struct TargetView;

/// Probes the health endpoint of each target periodically. A response is little
/// evidence, since targets with gray failures respond too; a failed connection,
/// a missing response or an announcement that the target leaves counts.
class Prober {
public:
  Prober(NodeContext &Context, std::uint64_t Seed);

  /// Runs until Context.Stop is set.
  void run();

private:
  NodeContext &Context;
  Random Generator;

  /// Records what a response states about the requests that the target accepts.
  /// \returns whether the target leaves.
  bool recordNotices(const ServiceView &Service, const TargetView &Target,
                     const Poco::Net::HTTPResponse &Head, Instant Sent);
  void probe(const ServiceView &Service, const TargetView &Target);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_PROBER_H
