#ifndef SISKINSTAGE_CORE_CALLERS_HTTP_REFUSAL_H
#define SISKINSTAGE_CORE_CALLERS_HTTP_REFUSAL_H

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace siskinstage {

/// Why a message is rejected, with the status code of the response.
struct HttpRefusal {
  int Status = 400;
  std::string Reason; ///< Names the offending header, line or length.
};

template <typename T> using HttpResult = tl::expected<T, HttpRefusal>;

/// Makes a fault that rejects a message.
inline tl::unexpected<HttpRefusal> refuse(int Status, std::string Reason) {
  return tl::unexpected<HttpRefusal>(HttpRefusal{Status, std::move(Reason)});
}

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_CALLERS_HTTP_REFUSAL_H
