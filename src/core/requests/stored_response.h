#ifndef SISKINSTAGE_CORE_REQUESTS_STORED_RESPONSE_H
#define SISKINSTAGE_CORE_REQUESTS_STORED_RESPONSE_H

#include <string>
#include <utility>
#include <vector>

namespace siskinstage {

/// A complete response, as it is stored for resends with the same idempotency
/// key.
struct StoredResponse {
  int Status = 0;
  std::string Reason; ///< Reason phrase of the status line.
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  /// Approximate memory use in bytes.
  [[nodiscard]] std::size_t bytes() const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_STORED_RESPONSE_H
