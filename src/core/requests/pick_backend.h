#ifndef SISKINSTAGE_CORE_REQUESTS_PICK_BACKEND_H
#define SISKINSTAGE_CORE_REQUESTS_PICK_BACKEND_H

#include "core/random.h"
#include "siskinstage/route_record.h"

#include <cstddef>
#include <vector>

namespace siskinstage {

/// Draws one of \p Backends by weight, whether or not it has capacity: moving
/// requests to another backend would change the configured split.
/// \returns its index, or 0 if all weights are zero.
/// \pre \p Backends is not empty.
std::size_t pickBackend(const std::vector<RouteBackend> &Backends, Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_PICK_BACKEND_H
