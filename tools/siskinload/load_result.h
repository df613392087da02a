#ifndef SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_RESULT_H
#define SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_RESULT_H

#include "siskinstage/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinstage::load {

/// How one request ended for its caller.
enum class Ending {
  Answered, ///< A whole and right answer below 400.
  Failed,   ///< A target's own answer of 400 or above.
  NotRun,   ///< Told that it was not run.
  Unknown,  ///< Told that the outcome is not known.
  Broken,   ///< No whole answer: cut, timed out or no connection.
  Wrong,    ///< A whole answer that is not this request's.
};

const char *endingName(Ending How);

/// One finished request.
struct LoadSample {
  std::string Work;
  Ending How = Ending::Broken;
  Duration Latency{}; ///< From the scheduled arrival.
  Duration Arrival{}; ///< From the start of the run to the arrival.
  std::uint32_t Tries = 1;
  int Status = 0;
};

/// Figures over all samples.
struct LoadSummary {
  std::uint64_t Sent = 0;
  std::uint64_t Endings[6] = {};
  std::uint64_t Tries = 0;
  double Seconds = 0;
  double P50Ms = 0;
  double P90Ms = 0;
  double P99Ms = 0;
  double P999Ms = 0;
  double MaxMs = 0;
};

/// \param Seconds from the first arrival to the last end.
LoadSummary summarize(const std::vector<LoadSample> &Samples, double Seconds);

std::string summaryJson(const LoadSummary &Summary);
std::string summaryTable(const LoadSummary &Summary);

} // namespace siskinstage::load

#endif // SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_RESULT_H
