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

constexpr Ending AllEndings[] = {Ending::Answered, Ending::Failed,
                                 Ending::NotRun,   Ending::Unknown,
                                 Ending::Broken,   Ending::Wrong};

double percentile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const auto At = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Sorted.size() - 1)));
  return Sorted[std::min(At, Sorted.size() - 1)];
}

std::vector<std::pair<std::string, double>>
numbersOf(const LoadSummary &Summary) {
  std::vector<std::pair<std::string, double>> Numbers = {
      {"sent", static_cast<double>(Summary.Sent)}};
  for (const Ending How : AllEndings)
    Numbers.emplace_back(
        endingName(How),
        static_cast<double>(Summary.Endings[static_cast<int>(How)]));
  Numbers.insert(Numbers.end(), {{"tries", static_cast<double>(Summary.Tries)},
                                 {"seconds", Summary.Seconds},
                                 {"p50_ms", Summary.P50Ms},
                                 {"p90_ms", Summary.P90Ms},
                                 {"p99_ms", Summary.P99Ms},
                                 {"p999_ms", Summary.P999Ms},
                                 {"max_ms", Summary.MaxMs}});
  return Numbers;
}

} // namespace

const char *endingName(Ending How) {
  switch (How) {
  case Ending::Answered:
    return "answered";
  case Ending::Failed:
    return "failed";
  case Ending::NotRun:
    return "not_run";
  case Ending::Unknown:
    return "unknown";
  case Ending::Broken:
    return "broken";
  case Ending::Wrong:
    return "wrong";
  }
  return "broken";
}

LoadSummary summarize(const std::vector<LoadSample> &Samples, double Seconds) {
  LoadSummary Summary;
  Summary.Sent = Samples.size();
  Summary.Seconds = Seconds;
  std::vector<double> Latencies;
  for (const LoadSample &Each : Samples) {
    ++Summary.Endings[static_cast<int>(Each.How)];
    Summary.Tries += Each.Tries;
    if (Each.How == Ending::Answered)
      Latencies.push_back(
          std::chrono::duration<double, std::milli>(Each.Latency).count());
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
  for (const auto &[Name, Value] : numbersOf(Summary))
    Root[Name] = Value;
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  Writer["precision"] = 6;
  return Json::writeString(Writer, Root) + "\n";
}

std::string summaryTable(const LoadSummary &Summary) {
  constexpr int NameWidth = 10;
  std::ostringstream Text;
  for (const auto &[Name, Value] : numbersOf(Summary))
    Text << std::left << std::setw(NameWidth) << Name << "  "
         << std::setprecision(6) << Value << '\n';
  return Text.str();
}

} // namespace siskinstage::load
