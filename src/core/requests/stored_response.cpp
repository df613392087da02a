#include "core/requests/stored_response.h"

namespace siskinstage {

std::size_t StoredResponse::bytes() const {
  std::size_t Total = sizeof(*this) + this->Body.size() + this->Reason.size();
  for (const auto &[Name, Value] : this->Headers)
    Total += sizeof(this->Headers.front()) + Name.size() + Value.size();
  return Total;
}

} // namespace siskinstage
