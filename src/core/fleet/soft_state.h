#ifndef SISKINSTAGE_CORE_FLEET_SOFT_STATE_H
#define SISKINSTAGE_CORE_FLEET_SOFT_STATE_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinstage {

/// What an entry of the soft state is about.
enum class SoftStateKind { Quota, Entry };

/// Identifies an entry. Only its owner writes it.
struct SoftStateId {
  SoftStateKind Kind = SoftStateKind::Quota;
  std::string Key;
  Address Owner;
  auto operator<=>(const SoftStateId &) const = default;
};

/// An entry as nodes send it.
struct SoftStateUpdate {
  SoftStateId Id;
  /// Start of the owner's process, in milliseconds since the Unix epoch.
  std::uint64_t OwnerProcess = 0;
  std::uint64_t Version = 0;
  std::optional<std::string> Value; ///< Nothing in a deleted entry.
  Duration Remaining{};             ///< Lifetime left when it was sent.
};

/// State that nodes share without a store: each entry is written by its owner,
/// ends unless the owner writes it again, and spreads by messages in any order.
/// The load it addresses: every node states a few figures that change within
/// seconds, and any of the nodes may end at any time without a notice.
///
/// A higher (OwnerProcess, Version) replaces a lower one; of two copies of one
/// version, the earlier end of life holds. An ended or deleted entry stays as a
/// marker for config::SoftStateRetention, so that a late copy does not bring it
/// back.
class SoftState {
public:
  /// Hashes of the entries of each owner.
  using Digest = std::map<Address, std::uint64_t>;
  struct Stats {
    std::size_t Entries = 0; ///< Including markers.
    std::uint64_t Malformed = 0;
    std::uint64_t Full = 0; ///< Entries refused since the table was full.
  };

  /// \param OwnerProcess start of this process, in ms since the Unix epoch.
  SoftState(Address Owner, std::uint64_t OwnerProcess, std::size_t MaxEntries);

  /// Writes an entry of this node. \returns false if the table is full.
  bool set(SoftStateKind Kind, const std::string &Key, std::string Value,
           Duration Lifetime, Instant Now);
  /// Deletes an entry of this node; the deletion spreads like a value.
  void erase(SoftStateKind Kind, const std::string &Key, Instant Now);
  /// Takes in entries of other nodes. \returns the ids of those that changed.
  std::vector<SoftStateId> merge(const std::vector<SoftStateUpdate> &Updates,
                                 Instant Now);
  /// Removes markers whose retention is over.
  void expire(Instant Now);

  /// The values of a kind that are in force, by id.
  [[nodiscard]] std::map<SoftStateId, std::string> values(SoftStateKind Kind,
                                                          Instant Now) const;
  [[nodiscard]] Digest digest(Instant Now) const;
  /// The entries of those owners whose hash is not that in \p Theirs.
  [[nodiscard]] std::vector<SoftStateUpdate> difference(const Digest &Theirs,
                                                        Instant Now) const;
  [[nodiscard]] Stats stats() const;

private:
  struct Entry {
    std::uint64_t OwnerProcess = 0;
    std::uint64_t Version = 0;
    std::optional<std::string> Value;
    Instant ExpiresAt;
    bool operator==(const Entry &) const = default;
  };

  Address Owner;
  std::uint64_t OwnerProcess;
  std::uint64_t NextVersion = 1;
  std::size_t MaxEntries;
  std::map<SoftStateId, Entry> Table;
  std::uint64_t Malformed = 0;
  std::uint64_t Full = 0;

  /// Stores \p New unless what is known is newer. \returns whether it changed.
  bool put(const SoftStateId &Id, Entry New);
  bool mergeOne(const SoftStateUpdate &Update, Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_SOFT_STATE_H
