#ifndef SISKINSTAGE_NODE_PROBER_H
#define SISKINSTAGE_NODE_PROBER_H

#include "core/random.h"

namespace siskinstage {

struct NodeContext;
struct ServiceView;
struct TargetView;

/// Probes the health endpoint of each target periodically. A successful probe
/// says little, since targets with gray failures answer it too; a refused
/// connection or a leaving mark counts.
class Prober {
public:
  Prober(NodeContext &Context, std::uint64_t Seed);

  /// Runs until Context.Stop is set.
  void run();

private:
  NodeContext &Context;
  Random Generator;

  void probe(const ServiceView &Service, const TargetView &Target);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PROBER_H
