#ifndef SISKINSTAGE_CORE_HTTP_REFUSAL_H
#define SISKINSTAGE_CORE_HTTP_REFUSAL_H

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace siskinstage {

/// Why a message was refused, with the status code that says so.
struct HttpRefusal {
  int Status = 400;
  std::string Reason; ///< Names the header, line or length at fault.
};

template <typename T> using HttpResult = tl::expected<T, HttpRefusal>;

inline tl::unexpected<HttpRefusal> refuse(int Status, std::string Reason) {
  return tl::unexpected<HttpRefusal>(HttpRefusal{Status, std::move(Reason)});
}

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_HTTP_REFUSAL_H
