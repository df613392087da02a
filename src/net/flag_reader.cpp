#include "net/flag_reader.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <string_view>

namespace siskinstage {

namespace {

constexpr const char *EnvironmentPrefix = "SISKINSTAGE_";

std::string variableName(const std::string &Flag) {
  std::string Name = EnvironmentPrefix;
  for (const char Byte : Flag)
    Name += static_cast<char>(std::toupper(static_cast<unsigned char>(Byte)));
  return Name;
}

/// Replaces "-" by "_" in the name of a flag: "--print-settings=x" becomes
/// "--print_settings=x". Other arguments are unchanged.
std::string normalizedFlag(const std::string &Argument) {
  if (Argument.substr(0, 2) != "--")
    return Argument;
  std::string Result = Argument;
  const std::size_t End = std::min(Result.find('='), Result.size());
  std::replace(Result.begin() + 2,
               Result.begin() + static_cast<std::ptrdiff_t>(End), '-', '_');
  return Result;
}

bool isKnownFlag(const std::string &Argument) {
  const std::string Name = Argument.substr(2, Argument.find('=') - 2);
  if (absl::FindCommandLineFlag(Name) != nullptr)
    return true;
  const bool Negated = Name.substr(0, 2) == "no";
  return Negated && absl::FindCommandLineFlag(Name.substr(2)) != nullptr;
}

/// The program's own flags by name, without Abseil's, which are of no use to
/// operators.
std::map<std::string, const absl::CommandLineFlag *> ownFlags() {
  std::map<std::string, const absl::CommandLineFlag *> Flags;
  for (const auto &[Name, Flag] : absl::GetAllFlags())
    if (Flag->Filename().find("absl/") == std::string::npos)
      Flags[std::string(Name)] = Flag;
  return Flags;
}

void printHelp() {
  std::cout << absl::ProgramUsageMessage() << "\n\nFlags:\n";
  for (const auto &[Name, Flag] : ownFlags())
    std::cout << "  --" << Name << " (" << Flag->Help() << ") default: \""
              << Flag->DefaultValue() << "\"\n";
}

void readEnvironment(const std::vector<std::string> &Names,
                     std::vector<Error> &Faults) {
  for (const std::string &Name : Names) {
    const char *Value = std::getenv(variableName(Name).c_str());
    absl::CommandLineFlag *Flag = absl::FindCommandLineFlag(Name);
    if (Value == nullptr || Flag == nullptr)
      continue;
    std::string Reason;
    if (!Flag->ParseFrom(Value, &Reason))
      Faults.push_back({Step::Settings, variableName(Name), Reason});
  }
}

} // namespace

std::vector<std::string> readFlags(int Argc, char **Argv,
                                   const std::vector<std::string> &Names,
                                   std::vector<Error> &Faults) {
  for (int I = 1; I < Argc; ++I)
    if (std::string_view(Argv[I]) == "--help") {
      printHelp();
      std::exit(EXIT_SUCCESS);
    }
  readEnvironment(Names, Faults);
  // Abseil keeps pointers to the positional arguments.
  static std::deque<std::string> Arguments;
  std::vector<char *> Accepted;
  for (int I = 0; I < Argc; ++I) {
    Arguments.push_back(normalizedFlag(Argv[I]));
    const std::string &Argument = Arguments.back();
    const bool IsFlag =
        I > 0 && Argument.size() > 2 && Argument.substr(0, 2) == "--";
    if (IsFlag && !isKnownFlag(Argument))
      Faults.push_back({Step::Settings, Argument, "unknown flag"});
    else
      Accepted.push_back(Arguments.back().data());
  }
  const std::vector<char *> Positional = absl::ParseCommandLine(
      static_cast<int>(Accepted.size()), Accepted.data());
  return {Positional.begin() + 1, Positional.end()};
}

} // namespace siskinstage
