#ifndef SISKINSTAGE_CORE_STEERING_H
#define SISKINSTAGE_CORE_STEERING_H

#include "siskinstage/strong_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinstage {

/// An entry instance as steering sees it.
struct SteeringNode {
  NodeId Id;
  Address Where;
  FailureDomain Domain;
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
/// \p PerDomain nodes of the highest weight, more in a large domain.
std::vector<SteeringNode> domainEntries(const std::vector<SteeringNode> &Nodes,
                                        std::size_t PerDomain);

/// The \p Count nodes of \p Group to which \p Account is steered, best first,
/// over as many failure domains as there are.
std::vector<SteeringNode> accountEntries(const std::vector<SteeringNode> &Group,
                                         const AccountName &Account,
                                         std::size_t Count);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_STEERING_H
