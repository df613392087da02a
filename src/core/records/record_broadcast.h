#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_BROADCAST_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_BROADCAST_H

#include "core/fleet/member.h"
#include "core/random.h"

#include <vector>

namespace siskinstage {

/// From where a node got a new record.
enum class RecordSource {
  Platform,    ///< Read by this node.
  OtherDomain, ///< A node of another failure domain.
  OwnDomain,   ///< A node of its own failure domain.
};

/// From whom a node got a new record.
struct RecordSender {
  RecordSource Source = RecordSource::Platform;
  Address Node; ///< Empty if it was read from the platform.
};

/// The members to which a node sends a new record. Traffic between failure
/// domains is expensive: a watcher sends to few nodes of each other domain, and
/// a node that gets a record from another domain sends it to all nodes of its
/// own. In a domain too large for that, each node sends to a few random ones,
/// or, if the domain has large instances among small ones, only these send; a
/// record that comes from a small one shows that the large ones may be lost.
/// \param Live the live members, with or without \p Self.
std::vector<Address> broadcastRecipients(const std::vector<Member> &Live,
                                         const Member &Self,
                                         const RecordSender &From, Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_BROADCAST_H
