/// siskinstaged: one entry node.
/// Exit codes: 0 after SIGTERM or SIGINT, 1 if it can't start, 2 for settings
/// with faults.
#include "node/node.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

constexpr int BadSettings = 2;
constexpr int MaxArenas = 4;

int awaitStopSignal(const sigset_t &Signals) {
  int Signal = 0;
  while (sigwait(&Signals, &Signal) != 0) {
  }
  return Signal;
}

} // namespace

int main(int Argc, char **Argv) {
  // Thousands of connection threads share few heaps.
  mallopt(M_ARENA_MAX, MaxArenas);
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  std::vector<siskinstage::Error> Faults;
  const siskinstage::Settings Set =
      siskinstage::readSettings(Argc, Argv, Faults);
  if (Set.PrintOnly)
    std::cout << siskinstage::printedSettings();
  for (const siskinstage::Error &Fault : Faults)
    std::cerr << Fault.text() << '\n';
  if (!Faults.empty())
    return BadSettings;
  if (Set.PrintOnly)
    return EXIT_SUCCESS;

  siskinstage::startLog(Set.Level, Set.Format, Set.Id.str());
  auto Node = siskinstage::Node::start(Set);
  if (!Node) {
    siskinstage::logError(siskinstage::LogLevel::Error, "the node can't start",
                          Node.error());
    return EXIT_FAILURE;
  }
  awaitStopSignal(Signals);
  (*Node)->shutDown();
  // Connections that outlived the limit are cut with the process; their
  // handlers may still run, so nothing they use is taken apart.
  std::quick_exit(EXIT_SUCCESS);
}
