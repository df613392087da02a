#ifndef SISKINSTAGE_NODE_PROBER_H
#define SISKINSTAGE_NODE_PROBER_H

#include "core/random.h"

namespace siskinstage {

struct NodeContext;
struct ServiceView;
struct TargetView;

/// Asks each target's health endpoint now and then. An answer proves little,
/// since gray targets give it too; a refusal or a leaving mark counts.
class Prober {
public:
  Prober(NodeContext &Context, std::uint64_t Seed);

  /// Runs until the node stops.
  void run();

private:
  NodeContext &Context;
  Random Dice;

  void probe(const ServiceView &Service, const TargetView &Target);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PROBER_H
