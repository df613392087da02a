#ifndef SISKINSTAGE_CORE_STEERING_H
#define SISKINSTAGE_CORE_STEERING_H

#include "siskinstage/service_record.h"
#include "siskinstage/strong_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinstage {

/// An entry instance as steering sees it.
struct SteeringNode {
  NodeId Id;
  Address Endpoint;
  FailureDomain Domain;
  /// Thousandths of a processor core, 0 if it is not known.
  std::uint32_t Capacity = 0;
  bool PlatformUnreachable = false; ///< It can't read the platform now.
};

/// Weight of \p Node for \p Key in rendezvous hashing; the highest wins.
std::uint64_t rendezvousWeight(const std::string &Key, const std::string &Node);

/// How many nodes of each failure domain serve a service with \p Slots slots in
/// all, at least one.
std::size_t groupNodesPerDomain(std::size_t Slots, std::size_t Domains);

/// The number of failure domains among \p Nodes.
std::size_t countDomains(const std::vector<SteeringNode> &Nodes);

/// The nodes that serve \p Service: in each failure domain the
/// \p PerDomain nodes of the highest weight.
std::vector<SteeringNode> serviceGroup(const std::vector<SteeringNode> &Nodes,
                                       const ServiceName &Service,
                                       std::size_t PerDomain);

/// The entries that serve all services: in each failure domain the
/// \p PerDomain nodes of the highest weight, more in a large domain. Where a
/// large domain has machines that carry several times as much as the others,
/// they alone are its entries: few entries know more of each target's load and
/// failures than many, and none of them is short of processor time. A domain
/// whose large machines are out of sight has as many small ones as carry the
/// same: its callers do not get fewer.
std::vector<SteeringNode> domainEntries(const std::vector<SteeringNode> &Nodes,
                                        std::size_t PerDomain);

/// The nodes that read the platform for the whole fleet, first the one that
/// reads soonest: \p Count of the highest weight, of different failure domains
/// as far as there are, machines of large capacity first.
std::vector<SteeringNode> platformWatchers(std::vector<SteeringNode> Nodes,
                                           std::size_t Count);

/// How many nodes read the platform: in a small fleet two of each failure
/// domain, since a cut or a refusal may meet any three at once; in a larger one
/// one of each, since every change wakes them all.
std::size_t watcherCount(std::size_t Nodes, std::size_t Domains);

/// Which of \p Targets the node at \p Self is in charge of trying when they are
/// idle: of the nodes of the target's failure domain among \p Serving, or of
/// all where it has none, one by rendezvous hashing. One node tries, so that a
/// target that is still gray costs one request and not one of each node.
std::vector<bool> trialAssignments(const std::vector<SteeringNode> &Serving,
                                   const Address &Self,
                                   const std::vector<TargetSpec> &Targets);

/// The \p Count nodes of \p Group to which \p Account is steered, best first,
/// over as many failure domains as there are.
std::vector<SteeringNode> accountEntries(const std::vector<SteeringNode> &Group,
                                         const AccountName &Account,
                                         std::size_t Count);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_STEERING_H
