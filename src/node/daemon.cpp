#include "node/daemon.h"
#include "node/node.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace siskinstage {

namespace {

constexpr int InvalidSettingsExitCode = 2;
/// Maximum number of malloc arenas. Few arenas limit the memory use of the
/// hundreds of threads that serve connections.
constexpr int MaxArenas = 2;
/// malloc returns buffers of at least this size to the system when they are
/// freed. Bodies and complete reads of the configuration are larger, and rare.
constexpr int LargeBufferBytes = 64 * 1024;

sigset_t awaitedSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

/// Waits for signals: SIGHUP reloads the settings, any other one returns.
void serveSignals(Node &Running) {
  const sigset_t Signals = awaitedSignals();
  while (true) {
    int Signal = 0;
    if (sigwait(&Signals, &Signal) != 0)
      continue;
    if (Signal != SIGHUP)
      return;
    Running.reload();
  }
}

} // namespace

void prepareDaemon() {
  mallopt(M_ARENA_MAX, MaxArenas);
  mallopt(M_MMAP_THRESHOLD, LargeBufferBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBufferBytes);
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t Signals = awaitedSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

int runDaemon(const Settings &NodeSettings, const std::vector<Error> &Faults,
              const NodeAdapter &Adapter) {
  if (NodeSettings.PrintOnly)
    std::cout << printedSettings();
  for (const Error &Fault : Faults)
    std::cerr << Fault.text() << '\n';
  if (!Faults.empty())
    return InvalidSettingsExitCode;
  if (NodeSettings.PrintOnly)
    return EXIT_SUCCESS;

  startLog(NodeSettings.Level, NodeSettings.Format, NodeSettings.Id.str());
  auto Started = Node::start(NodeSettings, Adapter);
  if (!Started) {
    logError(LogLevel::Error, "node failed to start", Started.error());
    return EXIT_FAILURE;
  }
  serveSignals(**Started);
  (*Started)->shutDown();
  // Handlers of connections that outlived the shutdown limit may still run, so
  // the process exits without running destructors.
  std::quick_exit(EXIT_SUCCESS);
}

} // namespace siskinstage
