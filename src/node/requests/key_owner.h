#ifndef SISKINSTAGE_NODE_REQUESTS_KEY_OWNER_H
#define SISKINSTAGE_NODE_REQUESTS_KEY_OWNER_H

#include "core/requests/key_table.h"
#include "core/requests/request_key.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace siskinstage {

/// The node's key table, protected by a lock. Requests can wait until a key is
/// in a final state. See KeyTable.
class KeyOwner {
public:
  /// \param OwnAddress address of this node's port for callers.
  KeyOwner(const AddressParts &OwnAddress, Incarnation Process);

  /// The signed prefix for new keys, or nothing while the table is full.
  std::optional<std::string> prefixForNewKeys(const KeyRing &Ring);
  /// Whether this process owns the keys with \p Prefix.
  [[nodiscard]] bool owns(const KeyPrefix &Prefix) const;
  /// Whether the prefix contains the address of this node, with any
  /// incarnation.
  [[nodiscard]] bool hasOwnAddress(const KeyPrefix &Prefix) const;

  KeyTable::Claim claim(const RequestKey &Key, Fingerprint Request);
  /// Waits until the key is in a final state or \p Limit passes, which may
  /// become earlier meanwhile.
  /// \returns its state, or nothing if it is unknown.
  std::optional<KeyTable::View> awaitEnd(const std::string &Key,
                                         const std::function<Instant()> &Limit);
  void setBodyHash(const std::string &Key, std::uint64_t Hash);
  [[nodiscard]] bool beginDispatch(const std::string &Key);
  void retractDispatch(const std::string &Key);
  void endCompleted(const std::string &Key,
                    std::shared_ptr<const StoredResponse> Response);
  void endUnknown(const std::string &Key);
  void endNotRun(const std::string &Key);
  KeyTable::Stats stats();
  [[nodiscard]] Incarnation process() const { return this->Process; }

private:
  AddressParts OwnAddress;
  Incarnation Process;
  std::mutex Lock;
  std::condition_variable Ended;
  KeyTable Table;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_KEY_OWNER_H
