#ifndef SISKINSTAGE_NODE_SETTINGS_H
#define SISKINSTAGE_NODE_SETTINGS_H

#include "core/fleet/key_ring.h"
#include "core/targets/service_health.h"
#include "node/dialect.h"
#include "node/operators/log.h"
#include "siskinstage/config.h"
#include "siskinstage/record.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <optional>
#include <string>
#include <vector>

namespace siskinstage {

/// Validated settings of a node.
struct Settings {
  Address Listen;         ///< Port for callers.
  Address Advertise;      ///< Address at which callers reach this node.
  Address FleetListen;    ///< Port for other nodes, TCP and UDP.
  Address FleetAddress;   ///< Address at which other nodes reach it.
  Address OperatorListen; ///< Port for operators.
  Address Platform;
  /// Nodes that are contacted besides those of the instance list.
  std::vector<Address> Seeds;
  NodeId Id;
  FailureDomain Domain;
  std::string Region;
  std::optional<KeyRing> Keys;
  int MaxConnections = 0;
  int CallerThreads = config::MaxCallerThreads;
  LogLevel Level = LogLevel::Info;
  LogFormat Format = LogFormat::KeyValue;
  Detector DetectorMode = Detector::Group;
  /// Longest time to wait until the configuration is known to be current before
  /// callers are served.
  Millis ReadyWait{};
  Dialect HeaderDialect; ///< Header names used with callers and targets.
  /// Entry nodes per failure domain that callers are steered to; zero to steer
  /// by service groups.
  std::size_t EntriesPerDomain = 0;
  /// Processor share of this instance in thousandths of a core; zero if
  /// unknown.
  std::uint32_t Capacity = 0;
  Millis ProbePeriod = config::ProbePeriod; ///< Zero disables probes.
  /// How long new connections are accepted after SIGTERM.
  Millis AcceptLinger = config::AcceptLingerTime;
  Millis ShutdownLimit = config::ShutdownLimit;
  /// The record without which there is no configuration; if not set, any
  /// record is one.
  std::optional<RecordKey> RequiredRecord;
  bool PrintOnly = false; ///< Print the settings and exit.
};

/// Reads flags and environment variables; a flag overrides its variable.
/// \param Faults receives all errors, each naming its setting.
/// \param AdapterFlags names of further flags, which an adapter reads itself.
/// \returns the settings, valid only if there are no faults.
Settings readSettings(int Argc, char **Argv, std::vector<Error> &Faults,
                      const std::vector<std::string> &AdapterFlags = {});

/// Parses the address \p Value of the setting \p Name.
/// \param Faults receives an error that names the setting if it is malformed.
Address readAddress(const std::string &Name, const std::string &Value,
                    std::vector<Error> &Faults);

/// Formats all settings as "name=value" lines, without secrets.
std::string printedSettings();

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SETTINGS_H
