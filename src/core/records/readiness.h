#ifndef SISKINSTAGE_CORE_RECORDS_READINESS_H
#define SISKINSTAGE_CORE_RECORDS_READINESS_H

#include <cstddef>

namespace siskinstage {

/// What a node that starts has learned of the configuration.
struct ReadinessFacts {
  /// The records without which there is no configuration are applied.
  bool ConfigurationKnown = false;
  bool PlatformRead = false; ///< All records of the platform were read.
  /// They were known not to be stale.
  bool PlatformCurrent = false;
  /// Failure domains with a peer whose records are complete and were compared.
  std::size_t DomainsCompared = 0;
  /// The platform's list of instances was read.
  bool InstanceListRead = false;
  /// Failure domains of the other live nodes in that list.
  std::size_t DomainsListed = 0;
  bool WaitedOut = false; ///< The wait for further knowledge is over.
};

/// Whether the node has the records of the platform from the platform itself.
/// Only such a node, or one that serves callers, is compared with: nodes that
/// start together must not confirm each other's lack of records, nor the stale
/// records of a single peer.
bool hasPlatformRecords(const ReadinessFacts &Known);

/// Whether callers may be served: the configuration is known, and known to be
/// current or the wait for that is over.
bool mayServeCallers(const ReadinessFacts &Known);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_READINESS_H
