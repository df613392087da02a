/// siskinctl: command line tool for operators.
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

bool isHelpRequested(int Argc, char **Argv) {
  for (int I = 1; I < Argc; ++I)
    if (std::string(Argv[I]) == "--help" || std::string(Argv[I]) == "-h" ||
        std::string(Argv[I]) == "help")
      return true;
  return false;
}

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (isHelpRequested(Argc, Argv)) {
    std::cout << helpText();
    return ExitOk;
  }
  std::vector<Error> Faults;
  const CtlOptions Options = readCtlOptions(Argc, Argv, Faults);
  for (const Error &Fault : Faults)
    std::cerr << Fault.text() << '\n';
  if (!Faults.empty())
    return ExitError;
  const auto Selected = Options.Arguments.empty()
                            ? Commands.end()
                            : Commands.find(Options.Arguments[0]);
  if (Selected == Commands.end()) {
    std::cerr << "unknown command\n\n" << helpText();
    return ExitError;
  }
  return Selected->second(Options);
}
