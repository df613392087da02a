/// siskinctl: the operators' tool.
#include "ctl/commands.h"
#include "ctl/ctl_options.h"

#include <csignal>
#include <iostream>
#include <map>

using namespace siskinstage;
using namespace siskinstage::ctl;

namespace {

using Command = int (*)(const CtlOptions &);

const std::map<std::string, Command> Commands = {
    {"check", runCheck},          {"state", runState},
    {"targets", runTargets},      {"members", runMembers},
    {"config", runConfig},        {"explain", runExplain},
    {"completion", runCompletion}};

bool asksForHelp(int Argc, char **Argv) {
  for (int I = 1; I < Argc; ++I)
    if (std::string(Argv[I]) == "--help" || std::string(Argv[I]) == "-h" ||
        std::string(Argv[I]) == "help")
      return true;
  return false;
}

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (asksForHelp(Argc, Argv)) {
    std::cout << helpText();
    return ExitOk;
  }
  std::vector<Error> Faults;
  const CtlOptions Options = readCtlOptions(Argc, Argv, Faults);
  for (const Error &Fault : Faults)
    std::cerr << Fault.text() << '\n';
  if (!Faults.empty())
    return ExitUsage;
  const auto Found =
      Options.Words.empty() ? Commands.end() : Commands.find(Options.Words[0]);
  if (Found == Commands.end()) {
    std::cerr << "there is no such command\n\n" << helpText();
    return ExitUsage;
  }
  return Found->second(Options);
}
