#ifndef SISKINSTAGE_NODE_DAEMON_H
#define SISKINSTAGE_NODE_DAEMON_H

#include "node/node_adapter.h"
#include "node/settings.h"

#include <vector>

namespace siskinstage {

/// Blocks the signals that runDaemon waits for; before any thread starts.
void prepareDaemon();

/// Prints faults and settings as asked, else runs a node until SIGTERM or
/// SIGINT.
/// \returns the exit code: 0 after the signal, 1 if the node can't start, 2 for
/// settings with faults.
int runDaemon(const Settings &Set, const std::vector<Error> &Faults,
              const NodeAdapter &Adapter = {});

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DAEMON_H
