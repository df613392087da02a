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

/// What the platform stand-in holds: every version of every record, and the
/// instance list.
class PlatformStore {
public:
  /// Adds records; each gets the next version of the whole.
  void add(const std::vector<Json::Value> &Records);
  void setInstances(const Json::Value &List);
  /// Answers from the state at \p Version from now on; nothing for the newest.
  void freezeAt(std::optional<std::uint64_t> Version);

  /// The records that changed after \p After, waiting up to \p WaitMs for one.
  Json::Value changes(std::uint64_t After, int WaitMs);
  Json::Value instances();
  std::uint64_t version();

private:
  struct Versioned {
    std::uint64_t Version = 0;
    Json::Value Record;
  };
  std::mutex Lock;
  std::condition_variable Changed;
  std::vector<Versioned> History;
  Json::Value Instances{Json::arrayValue};
  std::optional<std::uint64_t> Frozen;

  [[nodiscard]] std::uint64_t shownVersion() const;
  [[nodiscard]] Json::Value changesNow(std::uint64_t After) const;
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_PLATFORM_STORE_H
