#ifndef SISKINSTAGE_CORE_NEWS_SPREAD_H
#define SISKINSTAGE_CORE_NEWS_SPREAD_H

#include "core/member.h"
#include "core/random.h"

#include <vector>

namespace siskinstage {

/// Where a node has a new record from.
enum class NewsSource {
  Platform,    ///< It read it itself.
  OtherDomain, ///< A node of another failure domain.
  OwnDomain,   ///< A node of its own failure domain.
};

/// Whom a node tells of a new record. Bytes between failure domains are dear,
/// and each domain has watchers of its own: news goes to all nodes of the own
/// domain, and from a watcher to one node of each other domain, in case that
/// domain's watchers can't read. In a domain too large for that, each node
/// passes news on to a few.
/// \param Live the live members, with or without the node itself.
std::vector<Address> newsRecipients(const std::vector<Member> &Live,
                                    const Member &Self, NewsSource Source,
                                    Random &Dice);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_NEWS_SPREAD_H
