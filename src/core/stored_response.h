#ifndef SISKINSTAGE_CORE_STORED_RESPONSE_H
#define SISKINSTAGE_CORE_STORED_RESPONSE_H

#include <string>
#include <utility>
#include <vector>

namespace siskinstage {

/// A target's whole answer, kept to give it again to a resend.
struct StoredResponse {
  int Status = 0;
  std::string Reason;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  [[nodiscard]] std::size_t bytes() const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_STORED_RESPONSE_H
