#ifndef SISKINSTAGE_SISKINSTAGE_H
#define SISKINSTAGE_SISKINSTAGE_H

/// siskinstage in one header.
///
/// A node (`siskinstaged`) stands between callers and targets. For each
/// request it
///   1. finds the route and with it the service      (RouteRecord),
///   2. holds the account to its limits              (AccountRecord),
///   3. settles who may dispatch an idempotency key  (KeyEpoch, Incarnation),
///   4. chooses a target that is admitted            (ServiceRecord),
///   5. answers with the target's whole answer, or with an Outcome that says
///      truthfully whether the request was run.
///
/// Records reach the node from the platform's configuration service; every
/// Error carries the Step and the peer at which it arose.
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
