#ifndef SISKINSTAGE_CORE_REQUESTS_KEY_TABLE_H
#define SISKINSTAGE_CORE_REQUESTS_KEY_TABLE_H

#include "core/requests/stored_response.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinstage {

/// Hash of a request's method, host, URI and account, without its body.
struct Fingerprint {
  std::uint64_t Value = 0;
  bool operator==(const Fingerprint &) const = default;
};

/// The idempotency keys that this process owns, with the state of the request
/// of each key.
///
/// A request with a key is executed at most once in the lifetime of the
/// process. A key is Claimed, then InFlight, then ends as Completed, Unknown or
/// NotRun, and keeps that final state while its epoch is valid. NotRun is
/// final, too: a late copy of a request must not run after its caller received
/// `not-run`. Epochs are consecutive, and only the current one accepts new
/// keys. When the table is full the epoch is sealed, so that a key that was
/// refused can't be accepted later.
class KeyTable {
public:
  enum class State { Claimed, InFlight, Completed, Unknown, NotRun };

  /// Result of claim().
  enum class Claim {
    New,      ///< The claimant must dispatch the request, or end the key as
              ///< NotRun.
    Joined,   ///< Another request with this key is claimed or in flight.
    Ended,    ///< The key is in a final state, see find().
    Mismatch, ///< The key belongs to a different request.
    Sealed,   ///< Not dispatched, now or later: the epoch accepts no new keys.
    Expired,  ///< The epoch is over, and the states of its keys were removed.
  };

  /// State of a key.
  struct View {
    State CurrentState = State::Claimed;
    /// Set for Completed, unless the response was too large to store or was
    /// streamed.
    std::shared_ptr<const StoredResponse> Response;
    std::optional<std::uint64_t> BodyHash; ///< Set after the body was read.
  };

  struct Stats {
    std::size_t Entries = 0;
    std::size_t ResponseBytes = 0; ///< Bytes of all stored responses.
    std::size_t Live = 0;          ///< Claimed or in flight.
  };

  struct Limits {
    std::size_t Capacity = 0;      ///< Maximum number of keys.
    std::size_t ResponseBytes = 0; ///< Maximum bytes of all stored responses.
    std::size_t MaxResponseBytes = 0; ///< Maximum bytes of one stored response.
    Duration EpochLength{};
    /// Number of epochs after its own in which a key remains valid.
    std::uint32_t EpochsRetained = 1;
  };

  KeyTable(const Limits &TableLimits, Instant Now);

  /// The epoch for new keys, or nothing while the table is full.
  std::optional<KeyEpoch> epochForNewKeys(Instant Now);

  /// Claims \p Key for a request with the fingerprint \p Request.
  Claim claim(KeyEpoch Epoch, const std::string &Key, Fingerprint Request,
              Instant Now);
  /// The state of \p Key, or nothing if it is unknown.
  [[nodiscard]] std::optional<View> find(const std::string &Key) const;
  void setBodyHash(const std::string &Key, std::uint64_t Hash);
  /// Changes Claimed to InFlight. \returns false if the key is in another
  /// state: then the request must not be dispatched.
  [[nodiscard]] bool beginDispatch(const std::string &Key);
  /// Changes InFlight back to Claimed, after a dispatch that was proved not to
  /// have run.
  void retractDispatch(const std::string &Key);
  /// \param Response null if it can't be stored.
  void endCompleted(const std::string &Key,
                    std::shared_ptr<const StoredResponse> Response);
  void endUnknown(const std::string &Key);
  /// Ends the key as NotRun, or as Unknown if it is in flight.
  void endNotRun(const std::string &Key);

  [[nodiscard]] const Stats &stats() const { return this->Counts; }

private:
  struct Entry {
    KeyEpoch Epoch;
    Fingerprint Request;
    View Status;
  };

  /// The keys of one epoch.
  struct EpochKeys {
    std::vector<std::string> Keys;
    std::size_t Live = 0;
  };

  Limits TableLimits;
  Stats Counts;
  KeyEpoch CurrentEpoch{1};
  Instant CurrentEpochStart;
  KeyEpoch FirstRetained{1};
  std::map<KeyEpoch, Instant> SealedAt;
  std::map<KeyEpoch, EpochKeys> KeysByEpoch;
  std::unordered_map<std::string, Entry> Entries;

  /// Seals the current epoch at the end of its length, and removes sealed
  /// epochs that are no longer valid and have no live keys.
  void advanceEpochs(Instant Now);
  void sealEpoch(Instant Now);
  void removeEpoch(KeyEpoch Epoch);
  [[nodiscard]] bool isFull() const;
  /// The entry of \p Key if it is Claimed or InFlight, else null.
  Entry *findLive(const std::string &Key);
  void end(const std::string &Key, State FinalState);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_KEY_TABLE_H
