#ifndef SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_RESULT_H
#define SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_RESULT_H

#include "siskinstage/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinstage::load {

/// Outcome of one request, as the caller sees it.
enum class RequestOutcome {
  Answered, ///< Complete, correct response with a status below 400.
  Failed,   ///< Response of a target with a status of 400 or above.
  NotRun,   ///< Reported as not run.
  Unknown,  ///< Reported as of unknown outcome.
  Broken,   ///< No complete response: truncated, timed out, no connection.
  Wrong,    ///< Complete response with the wrong content.
};

/// Name of \p Outcome in the summary and the log file.
const char *requestOutcomeName(RequestOutcome Outcome);

/// One finished request.
struct LoadSample {
  std::string WorkId;
  RequestOutcome FinalOutcome = RequestOutcome::Broken;
  Duration Latency{};         ///< From the scheduled arrival to the end.
  Duration Arrival{};         ///< Scheduled, from the start of the run.
  std::uint32_t Attempts = 1; ///< 1 plus the number of resends.
  int Status = 0;             ///< HTTP status of the last response; 0 for none.
};

/// Statistics over all samples. The latencies are those of answered requests.
struct LoadSummary {
  std::uint64_t Sent = 0;
  std::uint64_t OutcomeCounts[6] = {}; ///< By RequestOutcome.
  std::uint64_t Attempts = 0;
  double Seconds = 0;
  double P50Ms = 0;
  double P90Ms = 0;
  double P99Ms = 0;
  double P999Ms = 0;
  double MaxMs = 0;
};

/// \param Seconds duration of the run.
LoadSummary summarize(const std::vector<LoadSample> &Samples, double Seconds);

/// Formats \p Summary as one line of JSON.
std::string summaryJson(const LoadSummary &Summary);
/// Formats \p Summary as lines of name and value.
std::string summaryTable(const LoadSummary &Summary);

} // namespace siskinstage::load

#endif // SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_RESULT_H
