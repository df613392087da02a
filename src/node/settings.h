#ifndef SISKINSTAGE_NODE_SETTINGS_H
#define SISKINSTAGE_NODE_SETTINGS_H

#include "core/key_ring.h"
#include "core/service_health.h"
#include "node/dialect.h"
#include "node/log.h"
#include "siskinstage/config.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <optional>
#include <string>
#include <vector>

namespace siskinstage {

/// The checked settings of one node.
struct Settings {
  Address Listen;         ///< Callers' port.
  Address Advertise;      ///< Where callers and other nodes reach it.
  Address FleetListen;    ///< Other nodes' port, over TCP and UDP.
  Address FleetAddress;   ///< Where other nodes reach it.
  Address OperatorListen; ///< Operators' port.
  Address Platform;
  std::vector<Address> Seeds; ///< Nodes to look for, beside the listed ones.
  NodeId Id;
  FailureDomain Domain;
  std::string Region;
  std::optional<KeyRing> Keys;
  int MaxConnections = 0;
  LogLevel Level = LogLevel::Info;
  LogFormat Format = LogFormat::KeyValue;
  Detector DetectorMode = Detector::Group;
  Millis ReadyWait{};    ///< Longest wait for the platform before serving.
  Dialect HeaderDialect; ///< Header names towards callers and targets.
  /// Entries of each failure domain that callers are steered to; zero to steer
  /// by service groups.
  std::size_t EntriesPerDomain = 0;
  /// What this machine can carry, in thousandths of a processor core.
  std::uint32_t Capacity = 0;
  Millis ProbePeriod = config::ProbePeriod; ///< Zero for no probes.
  /// From SIGTERM on, new connections are still taken for this long.
  Millis AcceptLinger = config::ShutdownNotice;
  Millis ShutdownLimit = config::ShutdownLimit;
  bool PrintOnly = false; ///< Print the settings and exit.
};

/// Reads flags and environment variables; a flag wins over its variable.
/// \param Faults receives every fault, each naming its setting.
/// \param More names of further flags that an adapter reads itself.
/// \returns the settings, of use only if there is no fault.
Settings readSettings(int Argc, char **Argv, std::vector<Error> &Faults,
                      const std::vector<std::string> &More = {});

/// The address that the setting \p Name holds; a fault names it.
Address readAddress(const std::string &Name, const std::string &Value,
                    std::vector<Error> &Faults);

/// "name=value" lines of all settings, with secrets left out.
std::string printedSettings();

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SETTINGS_H
