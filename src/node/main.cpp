/// siskinstaged: a node of the proxy fleet.
/// Exit codes: 0 after SIGTERM or SIGINT, 1 if it can't start, 2 for invalid
/// settings.
#include "node/daemon.h"

int main(int Argc, char **Argv) {
  siskinstage::prepareDaemon();
  std::vector<siskinstage::Error> Faults;
  const siskinstage::Settings NodeSettings =
      siskinstage::readSettings(Argc, Argv, Faults);
  return siskinstage::runDaemon(NodeSettings, Faults);
}
