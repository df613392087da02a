#ifndef SISKINSTAGE_CORE_RECORD_BROADCAST_H
#define SISKINSTAGE_CORE_RECORD_BROADCAST_H

#include "core/member.h"
#include "core/random.h"

#include <vector>

namespace siskinstage {

/// Where a node has a new record from.
enum class RecordSource {
  Platform,    ///< It read it itself.
  OtherDomain, ///< A node of another failure domain.
  OwnDomain,   ///< A node of its own failure domain.
};

/// Whom a node tells of a new record. Bytes between failure domains are dear: a
/// watcher tells few nodes of each other domain, and whoever hears of news from
/// another domain tells all nodes of its own. In a domain too large for that,
/// each node passes news on to a few.
/// \param Live the live members, with or without the node itself.
std::vector<Address> broadcastRecipients(const std::vector<Member> &Live,
                                         const Member &Self,
                                         RecordSource Source, Random &Dice);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORD_BROADCAST_H
