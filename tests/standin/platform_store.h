#ifndef SISKINSTAGE_TESTS_STANDIN_PLATFORM_STORE_H
#define SISKINSTAGE_TESTS_STANDIN_PLATFORM_STORE_H

#include <condition_variable>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace siskinstage::standin {

/// Data of the platform stand-in: all versions of all records, and the instance
/// list.
class PlatformStore {
public:
  /// Appends records; each gets the next version number of the store.
  void add(const std::vector<Json::Value> &Records);
  void setInstances(const Json::Value &NewInstances);
  /// Serves reads from the state at \p Version, or from the newest state if it
  /// is not set.
  void freezeAt(std::optional<std::uint64_t> Version);

  /// Returns the records that changed after the version \p After, at most one
  /// page of them. Waits up to \p WaitMs until the visible version differs from
  /// \p After.
  Json::Value changes(std::uint64_t After, int WaitMs);
  Json::Value instances();
  /// The newest version, also while reads are frozen.
  std::uint64_t version();

private:
  struct VersionedRecord {
    std::uint64_t Version = 0;
    Json::Value Record;
  };
  std::mutex Lock;
  std::condition_variable VersionChanged;
  std::vector<VersionedRecord> History;
  Json::Value Instances{Json::arrayValue};
  std::optional<std::uint64_t> FrozenVersion; ///< Set while reads are stale.

  /// The newest version that reads return. Lock must be held.
  [[nodiscard]] std::uint64_t visibleVersion() const;
  /// The changes after \p After, without waiting. Lock must be held.
  [[nodiscard]] Json::Value collectChanges(std::uint64_t After) const;
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_PLATFORM_STORE_H
