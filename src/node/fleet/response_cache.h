#ifndef SISKINSTAGE_NODE_FLEET_RESPONSE_CACHE_H
#define SISKINSTAGE_NODE_FLEET_RESPONSE_CACHE_H

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace siskinstage {

/// Compressed responses with the latest long records. The load: all nodes of a
/// failure domain read one record within tenths of a second. Thread-safe.
class ResponseCache {
public:
  using Text = std::shared_ptr<const std::string>;

  /// The response with \p Record, made by \p Make if it is not kept. Other
  /// callers wait in the meantime, as they mostly want the same one.
  Text get(const Text &Record, const std::function<std::string()> &Make) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const auto Kept =
        std::find_if(this->Entries.begin(), this->Entries.end(),
                     [&](const Entry &Item) { return Item.Record == Record; });
    if (Kept != this->Entries.end())
      return Kept->Response;
    if (this->Entries.size() >= MaxEntries)
      this->Entries.pop_front();
    this->Entries.push_back(
        {Record, std::make_shared<const std::string>(Make())});
    return this->Entries.back().Response;
  }

private:
  static constexpr std::size_t MaxEntries = 2;
  struct Entry {
    Text Record; ///< Held, so that no other record gets its address.
    Text Response;
  };

  std::mutex Lock;
  std::deque<Entry> Entries;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_RESPONSE_CACHE_H
