#ifndef SISKINSTAGE_SISKINSTAGE_H
#define SISKINSTAGE_SISKINSTAGE_H

/// Includes all public headers of siskinstage.
///
/// A node (`siskinstaged`) stands between callers and targets. For each
/// request it
///   1. finds the route and with it the service      (RouteRecord),
///   2. enforces the limits of the client account    (AccountRecord),
///   3. finds the owner of the idempotency key       (KeyEpoch, Incarnation),
///   4. chooses an admitted target                   (ServiceRecord),
///   5. returns the target's complete response, or an Outcome that says whether
///      the request was run.
///
/// The records come from the platform's configuration service. Each Error names
/// the Step in which it occurred and the peer concerned.
#include "siskinstage/account_record.h"
#include "siskinstage/config.h"
#include "siskinstage/error.h"
#include "siskinstage/fleet_record.h"
#include "siskinstage/outcome.h"
#include "siskinstage/record.h"
#include "siskinstage/route_record.h"
#include "siskinstage/service_record.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#endif // SISKINSTAGE_SISKINSTAGE_H
