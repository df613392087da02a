#include "load_result.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <json/value.h>
#include <json/writer.h>
#include <sstream>
#include <utility>

namespace siskinstage::load {

namespace {

constexpr RequestOutcome AllOutcomes[] = {
    RequestOutcome::Answered, RequestOutcome::Failed, RequestOutcome::NotRun,
    RequestOutcome::Unknown,  RequestOutcome::Broken, RequestOutcome::Wrong};

double percentile(const std::vector<double> &Sorted, double Quantile) {
  if (Sorted.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      std::lround(Quantile * static_cast<double>(Sorted.size() - 1)));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

std::vector<std::pair<std::string, double>>
summaryFields(const LoadSummary &Summary) {
  std::vector<std::pair<std::string, double>> Fields = {
      {"sent", static_cast<double>(Summary.Sent)}};
  for (const RequestOutcome FinalOutcome : AllOutcomes)
    Fields.emplace_back(
        requestOutcomeName(FinalOutcome),
        static_cast<double>(
            Summary.OutcomeCounts[static_cast<int>(FinalOutcome)]));
  Fields.insert(Fields.end(), {{"tries", static_cast<double>(Summary.Attempts)},
                               {"seconds", Summary.Seconds},
                               {"p50_ms", Summary.P50Ms},
                               {"p90_ms", Summary.P90Ms},
                               {"p99_ms", Summary.P99Ms},
                               {"p999_ms", Summary.P999Ms},
                               {"max_ms", Summary.MaxMs}});
  return Fields;
}

} // namespace

const char *requestOutcomeName(RequestOutcome FinalOutcome) {
  switch (FinalOutcome) {
  case RequestOutcome::Answered:
    return "answered";
  case RequestOutcome::Failed:
    return "failed";
  case RequestOutcome::NotRun:
    return "not_run";
  case RequestOutcome::Unknown:
    return "unknown";
  case RequestOutcome::Broken:
    return "broken";
  case RequestOutcome::Wrong:
    return "wrong";
  }
  return "broken";
}

LoadSummary summarize(const std::vector<LoadSample> &Samples, double Seconds) {
  LoadSummary Summary;
  Summary.Sent = Samples.size();
  Summary.Seconds = Seconds;
  std::vector<double> Latencies;
  for (const LoadSample &Sample : Samples) {
    ++Summary.OutcomeCounts[static_cast<int>(Sample.FinalOutcome)];
    Summary.Attempts += Sample.Attempts;
    if (Sample.FinalOutcome == RequestOutcome::Answered)
      Latencies.push_back(
          std::chrono::duration<double, std::milli>(Sample.Latency).count());
  }
  std::sort(Latencies.begin(), Latencies.end());
  Summary.P50Ms = percentile(Latencies, 0.5);
  Summary.P90Ms = percentile(Latencies, 0.9);
  Summary.P99Ms = percentile(Latencies, 0.99);
  Summary.P999Ms = percentile(Latencies, 0.999);
  Summary.MaxMs = percentile(Latencies, 1);
  return Summary;
}

std::string summaryJson(const LoadSummary &Summary) {
  Json::Value Root(Json::objectValue);
  for (const auto &[Name, Value] : summaryFields(Summary))
    Root[Name] = Value;
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  Writer["precision"] = 6;
  return Json::writeString(Writer, Root) + "\n";
}

std::string summaryTable(const LoadSummary &Summary) {
  constexpr int NameWidth = 10;
  std::ostringstream Text;
  for (const auto &[Name, Value] : summaryFields(Summary))
    Text << std::left << std::setw(NameWidth) << Name << "  "
         << std::setprecision(6) << Value << '\n';
  return Text.str();
}

} // namespace siskinstage::load
