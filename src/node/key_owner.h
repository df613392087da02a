#ifndef SISKINSTAGE_NODE_KEY_OWNER_H
#define SISKINSTAGE_NODE_KEY_OWNER_H

#include "core/key_table.h"
#include "core/request_key.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace siskinstage {

/// The node's key table behind a lock, with waiting for a key's end.
class KeyOwner {
public:
  KeyOwner(const AddressParts &Own, Incarnation Process);

  /// The prefix for new keys, or nothing while the table is full.
  std::optional<std::string> prefixForNewKeys(const KeyRing &Ring);
  [[nodiscard]] bool owns(const KeyPrefix &Prefix) const;
  /// Whether the prefix names this address, in whatever incarnation.
  [[nodiscard]] bool atThisAddress(const KeyPrefix &Prefix) const;

  KeyTable::Claim claim(const RequestKey &Key, Fingerprint Asked);
  /// Waits until the key has ended or \p Deadline passes.
  std::optional<KeyTable::View> awaitEnd(const std::string &Key,
                                         Instant Deadline);
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
  AddressParts Own;
  Incarnation Process;
  std::mutex Lock;
  std::condition_variable Ended;
  KeyTable Table;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_KEY_OWNER_H
