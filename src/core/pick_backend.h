#ifndef SISKINSTAGE_CORE_PICK_BACKEND_H
#define SISKINSTAGE_CORE_PICK_BACKEND_H

#include "core/random.h"
#include "siskinstage/route_record.h"

#include <cstddef>
#include <vector>

namespace siskinstage {

/// Draws one of \p Backends by weight. Requests that a backend has no capacity
/// for are not moved to another one, so that the configured split is kept.
/// \returns its index, or 0 if all weights are zero.
/// \pre \p Backends is not empty.
std::size_t pickBackend(const std::vector<RouteBackend> &Backends, Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_PICK_BACKEND_H
