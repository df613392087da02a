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

/// What the tool sends, and where.
struct LoadOptions {
  std::vector<Address> Direct; ///< Used as they are, in turn.
  std::vector<Address> Nodes;  ///< Asked for entries.
  std::string Service;
  std::uint32_t Accounts = 1; ///< Client accounts that share the load.
  double Rate = 100;          ///< Requests a second.
  double Seconds = 5;
  std::uint32_t Connections = 64; ///< Requests under way at most.
  std::string Method = "GET";
  std::string Path = "/";
  std::string Host = "load";
  double CostUs = 1000;  ///< Work of one request at the target.
  double CostSpread = 1; ///< Highest cost over lowest, log-uniform.
  std::size_t AnswerBytes = 2048;
  std::size_t BodyBytes = 0;
  bool Keyed = false;
  std::uint32_t Resends = 0; ///< Further tries after no or an unknown answer.
  Millis ResendAfter{100};
  Millis Deadline{2000};
  std::uint64_t Seed = 1;
  std::string LogFile;          ///< One line for each request: work, outcome.
  std::string WorkPrefix = "w"; ///< Starts the names of this run's work.
  bool Poison = false;
  bool Json = true;
};

/// Reads the tool's flags.
LoadOptions readLoadOptions(int Argc, char **Argv, std::vector<Error> &Faults);

} // namespace siskinstage::load

#endif // SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_OPTIONS_H
