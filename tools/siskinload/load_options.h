#ifndef SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_OPTIONS_H
#define SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_OPTIONS_H

#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinstage::load {

/// Command line options of siskinload.
struct LoadOptions {
  std::vector<Address> Direct;    ///< Used in turn, instead of entries.
  std::vector<Address> Nodes;     ///< Nodes to fetch entries from.
  std::string Service;            ///< Service to fetch entries for.
  std::uint32_t Accounts = 1;     ///< Client accounts that share the load.
  double Rate = 100;              ///< Requests per second.
  double Seconds = 5;             ///< Duration of the load.
  std::uint32_t Connections = 64; ///< Maximum number of concurrent requests.
  std::string Method = "GET";
  std::string Path = "/";
  std::string Host = "load";
  /// Processing time of a request at a stand-in target; the median if
  /// CostSpread is above 1.
  double CostUs = 1000;
  double CostSpread = 1; ///< Highest cost / lowest cost; log-uniform.
  std::size_t ResponseBytes = 2048; ///< Requested length of response bodies.
  std::size_t BodyBytes = 0;        ///< Length of request bodies.
  bool SendKeys = false; ///< Sends an idempotency key with each request.
  /// Maximum resends after RequestOutcome::Broken or RequestOutcome::Unknown.
  std::uint32_t Resends = 0;
  Millis ResendAfter{100}; ///< Delay before a resend.
  Millis Deadline{2000};   ///< Deadline of each attempt.
  std::uint64_t Seed = 1;  ///< Seed of the arrival times and costs.
  std::string LogFile;     ///< Receives one line per request; empty for none.
  std::string WorkPrefix = "w"; ///< Prefix of the work ids.
  bool Poison = false;          ///< Requests crash a stand-in target.
  bool Json = true;             ///< Prints JSON instead of a table.
};

/// Reads the flags. \p Faults receives one error for each invalid value.
LoadOptions readLoadOptions(int Argc, char **Argv, std::vector<Error> &Faults);

} // namespace siskinstage::load

#endif // SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_OPTIONS_H
