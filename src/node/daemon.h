#ifndef SISKINSTAGE_NODE_DAEMON_H
#define SISKINSTAGE_NODE_DAEMON_H

#include "node/node_adapter.h"
#include "node/settings.h"

#include <vector>

namespace siskinstage {

/// Blocks the signals that runDaemon() waits for. Call it before any thread
/// starts.
void prepareDaemon();

/// Runs a node until SIGTERM or SIGINT. With faults, or if the settings are to
/// be printed, it prints them instead.
/// \returns the exit code: 0 after the signal or after printing, 1 if the node
/// can't start, 2 for invalid settings.
int runDaemon(const Settings &NodeSettings, const std::vector<Error> &Faults,
              const NodeAdapter &Adapter = {});

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DAEMON_H
