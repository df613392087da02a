#ifndef SISKINSTAGE_CORE_STEERING_H
#define SISKINSTAGE_CORE_STEERING_H

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
  /// Thousandths of a processor core; 0 if not known.
  std::uint32_t Capacity = 0;
  bool PlatformUnreachable = false; ///< The node can't read the platform now.
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
/// with the highest weight, and more in a large domain. If a domain has
/// instances of several times the capacity of the others, only these are its
/// entries: each of a few entries knows more of a target's load and failures
/// than each of many, and none of the large ones lacks processor time. A domain
/// whose large instances are lost has as many small entries as have the same
/// capacity together, so that its callers keep theirs.
std::vector<SteeringNode> domainEntries(const std::vector<SteeringNode> &Nodes,
                                        std::size_t PerDomain);

/// The nodes that read the platform for the whole fleet, in the order in which
/// they take over: the \p Count nodes with the highest weight, instances of
/// large capacity first, spread evenly over the failure domains.
std::vector<SteeringNode> platformWatchers(std::vector<SteeringNode> Nodes,
                                           std::size_t Count);

/// Number of nodes that read the platform. In a small fleet it is two of each
/// failure domain, since a network partition or a rejection may affect any
/// three at once; in a larger one it is one of each, since every change wakes
/// all of them.
std::size_t watcherCount(std::size_t Nodes, std::size_t Domains);

/// To which of \p Targets the node at \p Self sends trial requests when they
/// are idle: rendezvous hashing assigns each target to one of the nodes of its
/// failure domain among \p Serving, or of all nodes if there are none. With a
/// single node per target, a target that is still gray costs one request
/// instead of one of each node.
///
/// \returns one flag for each target, in order.
std::vector<bool> trialAssignments(const std::vector<SteeringNode> &Serving,
                                   const Address &Self,
                                   const std::vector<TargetSpec> &Targets);

/// The \p Count nodes of \p Group to which \p Account is steered, in order of
/// preference and spread over all failure domains.
std::vector<SteeringNode> accountEntries(const std::vector<SteeringNode> &Group,
                                         const AccountName &Account,
                                         std::size_t Count);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_STEERING_H
