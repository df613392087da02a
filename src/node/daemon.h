#ifndef SISKINSTAGE_NODE_DAEMON_H
#define SISKINSTAGE_NODE_DAEMON_H

#include "node/node_adapter.h"
#include "node/settings.h"

#include <vector>

namespace siskinstage {

/// Blocks the signals that runDaemon() waits for. Call it before any thread
/// starts.
void prepareDaemon();

/// Runs a node until SIGTERM or SIGINT. If \p Faults is not empty, prints them
/// and starts no node; the same for the settings if they are to be printed.
/// \returns the exit code: 0 after a signal or after printing the settings, 1
/// if the node can't start, 2 for invalid settings.
int runDaemon(const Settings &NodeSettings, const std::vector<Error> &Faults,
              const NodeAdapter &Adapter = {});

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DAEMON_H
