#ifndef SISKINSTAGE_CORE_PICK_BACKEND_H
#define SISKINSTAGE_CORE_PICK_BACKEND_H

#include "core/random.h"
#include "siskinstage/route_record.h"

#include <cstddef>
#include <vector>

namespace siskinstage {

/// Draws one of \p Backends by weight; what a backend has no room for is not
/// moved to another, so that the shares hold.
/// \returns its index; the first one's if all weights are zero.
/// \pre \p Backends is not empty.
std::size_t pickBackend(const std::vector<RouteBackend> &Backends, Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_PICK_BACKEND_H
