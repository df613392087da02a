#ifndef SISKINSTAGE_CTL_CTL_OPTIONS_H
#define SISKINSTAGE_CTL_CTL_OPTIONS_H

#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <optional>
#include <string>
#include <vector>

namespace siskinstage::ctl {

/// Exit codes of siskinctl.
inline constexpr int ExitOk = 0;
/// The check found faults, the target or (in table output) the route does not
/// exist, or the wait for a revision timed out.
inline constexpr int ExitNegativeResult = 1;
/// Invalid command line, or no valid response from the node.
inline constexpr int ExitError = 2;

/// Command line options of siskinctl.
struct CtlOptions {
  Address Node;      ///< Operator port of the node to query.
  bool Json = false; ///< Prints JSON instead of a table.
  Millis Timeout{};  ///< Longest wait for a response, or for WaitRevision.
  std::uint64_t WaitRevision = 0; ///< For config; 0 does not wait.
  /// Of WaitRevision; if it is not set, revisions of all epochs are compared by
  /// their numbers.
  std::optional<HistoryEpoch> WaitEpoch;
  std::string Host;                   ///< For explain route: Host header.
  std::string Method;                 ///< For explain route.
  std::vector<std::string> Arguments; ///< The command, then its arguments.
};

/// Reads the flags and environment variables. \p Faults receives one error for
/// each invalid value.
CtlOptions readCtlOptions(int Argc, char **Argv, std::vector<Error> &Faults);

/// The help text of all commands.
const char *helpText();

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_CTL_OPTIONS_H
