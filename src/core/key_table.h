#ifndef SISKINSTAGE_CORE_KEY_TABLE_H
#define SISKINSTAGE_CORE_KEY_TABLE_H

#include "core/stored_response.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinstage {

/// Hash of what a request asks for, without its body.
struct Fingerprint {
  std::uint64_t Value = 0;
  bool operator==(const Fingerprint &) const = default;
};

/// The owner's memory of its idempotency keys.
///
/// Every key goes through at most one dispatch in the life of the process: it
/// is Claimed, then InFlight, then ends as Completed, Unknown or NotRun, and
/// keeps that end for as long as its epoch is valid. NotRun is an end too: a
/// late copy of a request whose caller was told `not-run` must not run.
/// Epochs follow one another; only the newest takes new keys. When the table is
/// full, the epoch is sealed, so that no refused key can be taken later.
class KeyTable {
public:
  enum class State { Claimed, InFlight, Completed, Unknown, NotRun };

  /// Result of claim().
  enum class Claim {
    New,      ///< The claimant must dispatch, or end the key as NotRun.
    Joined,   ///< Another request with this key is on its way.
    Ended,    ///< The key has ended; find() tells how.
    Mismatch, ///< The key belongs to a different request.
    Sealed,   ///< Never dispatched, and never will be.
    Expired,  ///< The epoch is over; what became of the key is forgotten.
  };

  /// How a key stands.
  struct View {
    State Now = State::Claimed;
    /// Set for Completed, unless the answer was too large to keep.
    std::shared_ptr<const StoredResponse> Response;
    std::optional<std::uint64_t> BodyHash; ///< Set once the body was read.
  };

  struct Stats {
    std::size_t Entries = 0;
    std::size_t ResponseBytes = 0;
    std::size_t Live = 0; ///< Claimed or in flight.
  };

  struct Limits {
    std::size_t Capacity = 0;         ///< Keys.
    std::size_t ResponseBytes = 0;    ///< Bytes of all answers kept.
    std::size_t MaxResponseBytes = 0; ///< Bytes of one answer kept.
    Duration EpochLength{};
    std::uint32_t EpochsRetained = 1;
  };

  KeyTable(const Limits &Most, Instant Now);

  /// The epoch for new keys, or nothing while the table is full.
  std::optional<KeyEpoch> epochForNewKeys(Instant Now);

  Claim claim(KeyEpoch Epoch, const std::string &Key, Fingerprint Asked,
              Instant Now);
  [[nodiscard]] std::optional<View> find(const std::string &Key) const;
  void setBodyHash(const std::string &Key, std::uint64_t Hash);
  /// Claimed to InFlight. \returns false if the key is in another state; the
  /// caller must not dispatch then.
  [[nodiscard]] bool beginDispatch(const std::string &Key);
  /// InFlight back to Claimed, after a dispatch that is proved not to have
  /// run.
  void retractDispatch(const std::string &Key);
  void endCompleted(const std::string &Key,
                    std::shared_ptr<const StoredResponse> Response);
  void endUnknown(const std::string &Key);
  void endNotRun(const std::string &Key);

  [[nodiscard]] const Stats &stats() const { return this->Counts; }

private:
  struct Entry {
    KeyEpoch Epoch;
    Fingerprint Asked;
    View Is;
  };

  /// The keys of one epoch.
  struct EpochKeys {
    std::vector<std::string> Keys;
    std::size_t Live = 0;
  };

  Limits Most;
  Stats Counts;
  KeyEpoch Current{1};
  Instant CurrentSince;
  KeyEpoch FirstKept{1};
  std::map<KeyEpoch, Instant> SealedAt;
  std::map<KeyEpoch, EpochKeys> KeysOf;
  std::unordered_map<std::string, Entry> Entries;

  void advance(Instant Now);
  void seal(Instant Now);
  void forget(KeyEpoch Epoch);
  [[nodiscard]] bool full() const;
  Entry *live(const std::string &Key);
  void end(const std::string &Key, State How);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_KEY_TABLE_H
