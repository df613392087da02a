#ifndef SISKINSTAGE_CORE_FLEET_STEERING_H
#define SISKINSTAGE_CORE_FLEET_STEERING_H

#include "siskinstage/service_record.h"
#include "siskinstage/strong_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinstage {

/// A node as a candidate for steering.
struct SteeringNode {
  NodeId Id;
  Address Endpoint;
  FailureDomain Domain;
  /// Processor share in thousandths of a core; 0 if not known.
  std::uint32_t Capacity = 0;
  bool PlatformUnreachable = false; ///< See Member.
};

/// Weight of \p Node for \p Key in rendezvous hashing; the highest one wins.
std::uint64_t rendezvousWeight(const std::string &Key, const std::string &Node);

/// Number of nodes of each failure domain that serve a service with \p Slots
/// slots in total, at least one.
std::size_t groupNodesPerDomain(std::size_t Slots, std::size_t Domains);

/// The number of failure domains among \p Nodes.
std::size_t countDomains(const std::vector<SteeringNode> &Nodes);

/// The nodes that serve \p Service: in each failure domain the \p PerDomain
/// nodes with the highest weight.
std::vector<SteeringNode> serviceGroup(const std::vector<SteeringNode> &Nodes,
                                       const ServiceName &Service,
                                       std::size_t PerDomain);

/// The entries for all services: in each failure domain the \p PerDomain nodes
/// with the highest weight, and more in a large domain. If a domain has at
/// least config::MinLargeEntries large instances, only these are its entries:
/// the fewer entries there are, the more each knows of a target's load and
/// failures, and large instances have enough processor time. If a domain has
/// lost its large instances, it gets enough small entries for the same total
/// capacity, so that its callers still have entries in their own domain.
std::vector<SteeringNode> domainEntries(const std::vector<SteeringNode> &Nodes,
                                        std::size_t PerDomain);

/// The nodes that read the platform for the whole fleet, in the order in which
/// they take over: the \p Count nodes with the highest weight, instances of
/// large capacity first, spread evenly over the failure domains.
std::vector<SteeringNode> platformWatchers(std::vector<SteeringNode> Nodes,
                                           std::size_t Count);

/// Number of nodes that read the platform: in a small fleet two of each failure
/// domain, since a network partition or a rejection by the platform may affect
/// any three at once; in a larger one only one of each, since every change
/// wakes all of them, but at least config::MinWatchers.
std::size_t watcherCount(std::size_t Nodes, std::size_t Domains);

/// To which of \p Targets the node at \p Self sends trial requests when they
/// are idle: rendezvous hashing assigns each target to one of those nodes of
/// \p Serving that are in its failure domain, or to any of \p Serving if none
/// is. With a single node per target, a target that is still gray costs one
/// request rather than one from each node.
/// \returns one flag for each target, in order.
std::vector<bool> trialAssignments(const std::vector<SteeringNode> &Serving,
                                   const Address &Self,
                                   const std::vector<TargetSpec> &Targets);

/// For which of \p Targets the node at \p Self is the deputy of the node that
/// sends trial requests: rendezvous hashing assigns each target to one of those
/// nodes of \p Serving that are in another failure domain than the node in
/// charge, or else to the next one in its domain.
/// \returns one flag for each target, in order.
std::vector<bool> deputyAssignments(const std::vector<SteeringNode> &Serving,
                                    const Address &Self,
                                    const std::vector<TargetSpec> &Targets);

/// The \p Count nodes of \p Group to which \p Account is steered, in order of
/// preference and spread over all failure domains.
std::vector<SteeringNode> accountEntries(const std::vector<SteeringNode> &Group,
                                         const AccountName &Account,
                                         std::size_t Count);

/// Whether both lists have the same nodes in the same order, by address.
bool sameNodes(const std::vector<SteeringNode> &Left,
               const std::vector<SteeringNode> &Right);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_STEERING_H
