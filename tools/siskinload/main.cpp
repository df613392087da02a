/// siskinload: load generator for tests and experiments.
/// Exit codes: 0 if no response had wrong content, 1 if some had, 2 for invalid
/// flags.
#include "load_options.h"
#include "load_result.h"
#include "load_worker.h"
#include "net/boot_time.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

using namespace siskinstage;
using namespace siskinstage::load;

namespace {

std::vector<LoadSample> runLoad(const LoadOptions &Options) {
  const std::vector<Arrival> Plan = planArrivals(Options);
  std::atomic<std::size_t> NextIndex{0};
  const Instant Start = bootNow() + Millis(50);
  std::vector<std::unique_ptr<LoadWorker>> Workers;
  std::vector<std::thread> Threads;
  for (std::uint32_t I = 0; I < Options.Connections; ++I) {
    Workers.push_back(std::make_unique<LoadWorker>(
        Options, Plan, NextIndex, Start, Options.Seed * 1'000'003 + I));
    Threads.emplace_back([Worker = Workers.back().get()] { Worker->run(); });
  }
  std::vector<LoadSample> Samples;
  for (std::size_t I = 0; I < Threads.size(); ++I) {
    Threads[I].join();
    for (LoadSample &Sample : Workers[I]->samples())
      Samples.push_back(std::move(Sample));
  }
  return Samples;
}

/// Writes one line per request: work id, outcome, attempts, status, scheduled
/// arrival in ms from the start of the run, and latency in ms.
void writeLog(const std::string &Path, const std::vector<LoadSample> &Samples) {
  std::ofstream File(Path);
  for (const LoadSample &Sample : Samples)
    File << Sample.WorkId << ' ' << requestOutcomeName(Sample.FinalOutcome)
         << ' ' << Sample.Attempts << ' ' << Sample.Status << ' '
         << std::chrono::duration_cast<Millis>(Sample.Arrival).count() << ' '
         << std::chrono::duration<double, std::milli>(Sample.Latency).count()
         << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<Error> Faults;
  const LoadOptions Options = readLoadOptions(Argc, Argv, Faults);
  for (const Error &Fault : Faults)
    std::cerr << Fault.text() << '\n';
  if (!Faults.empty())
    return 2;
  const Instant Start = bootNow();
  const std::vector<LoadSample> Samples = runLoad(Options);
  const std::chrono::duration<double> Elapsed = bootNow() - Start;
  if (!Options.LogFile.empty())
    writeLog(Options.LogFile, Samples);
  const LoadSummary Summary = summarize(Samples, Elapsed.count());
  std::cout << (Options.Json ? summaryJson(Summary) : summaryTable(Summary));
  return Summary.OutcomeCounts[static_cast<int>(RequestOutcome::Wrong)] == 0
             ? 0
             : 1;
}
