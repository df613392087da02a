#include "core/stored_answer.h"

namespace siskinstage {

std::size_t StoredAnswer::bytes() const {
  std::size_t Total = sizeof(*this) + this->Body.size() + this->Reason.size();
  for (const auto &[Name, Value] : this->Headers)
    Total += sizeof(this->Headers.front()) + Name.size() + Value.size();
  return Total;
}

} // namespace siskinstage
