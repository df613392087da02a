#ifndef SISKINSTAGE_CTL_CTL_OPTIONS_H
#define SISKINSTAGE_CTL_CTL_OPTIONS_H

#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <string>
#include <vector>

namespace siskinstage::ctl {

/// Exit codes of siskinctl.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFound = 1; ///< Faults were found, or a wait ended.
inline constexpr int ExitUsage = 2; ///< Wrong words, or no answer.

/// What siskinctl was told.
struct CtlOptions {
  Address Node; ///< Operators' port of the node to ask.
  bool Json = false;
  Millis Timeout{};
  std::uint64_t Wait = 0; ///< For config: the revision to wait for.
  std::string Host;       ///< For explain route.
  std::string Method;
  std::vector<std::string> Words; ///< Command and its arguments.
};

CtlOptions readCtlOptions(int Argc, char **Argv, std::vector<Error> &Faults);

/// The help text of all commands.
const char *helpText();

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_CTL_OPTIONS_H
