#include "node/daemon.h"
#include "node/node.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace siskinstage {

namespace {

constexpr int BadSettings = 2;
/// Thousands of connection threads share few heaps.
constexpr int MaxArenas = 2;
/// Buffers from this size on go back to the system as soon as they are freed:
/// bodies and whole reads of the configuration are larger, and rare.
constexpr int LargeBufferBytes = 64 * 1024;

sigset_t awaitedSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

/// Serves signals until one that ends the node.
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

int runDaemon(const Settings &Set, const std::vector<Error> &Faults,
              const NodeAdapter &Adapter) {
  if (Set.PrintOnly)
    std::cout << printedSettings();
  for (const Error &Fault : Faults)
    std::cerr << Fault.text() << '\n';
  if (!Faults.empty())
    return BadSettings;
  if (Set.PrintOnly)
    return EXIT_SUCCESS;

  startLog(Set.Level, Set.Format, Set.Id.str());
  auto Started = Node::start(Set, Adapter);
  if (!Started) {
    logError(LogLevel::Error, "the node can't start", Started.error());
    return EXIT_FAILURE;
  }
  serveSignals(**Started);
  (*Started)->shutDown();
  // Connections that outlived the limit are cut with the process; their
  // handlers may still run, so nothing they use is taken apart.
  std::quick_exit(EXIT_SUCCESS);
}

} // namespace siskinstage
