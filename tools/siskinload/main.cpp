/// siskinload: load and experiment tool.
/// Exit codes: 0 for a run without wrong answers, 1 with some, 2 for flags with
/// faults.
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
  std::atomic<std::size_t> Next{0};
  const Instant Start = bootNow() + Millis(50);
  std::vector<std::unique_ptr<LoadWorker>> Workers;
  std::vector<std::thread> Threads;
  for (std::uint32_t I = 0; I < Options.Connections; ++I) {
    Workers.push_back(std::make_unique<LoadWorker>(
        Options, Plan, Next, Start, Options.Seed * 1'000'003 + I));
    Threads.emplace_back([Worker = Workers.back().get()] { Worker->run(); });
  }
  std::vector<LoadSample> Samples;
  for (std::size_t I = 0; I < Threads.size(); ++I) {
    Threads[I].join();
    for (LoadSample &Each : Workers[I]->samples())
      Samples.push_back(std::move(Each));
  }
  return Samples;
}

void writeLog(const std::string &Path, const std::vector<LoadSample> &Samples) {
  std::ofstream File(Path);
  for (const LoadSample &Each : Samples)
    File << Each.Work << ' ' << endingName(Each.How) << ' ' << Each.Tries << ' '
         << Each.Status << ' '
         << std::chrono::duration_cast<Millis>(Each.Arrival).count() << ' '
         << std::chrono::duration<double, std::milli>(Each.Latency).count()
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
  const std::chrono::duration<double> Took = bootNow() - Start;
  if (!Options.LogFile.empty())
    writeLog(Options.LogFile, Samples);
  const LoadSummary Summary = summarize(Samples, Took.count());
  std::cout << (Options.Json ? summaryJson(Summary) : summaryTable(Summary));
  return Summary.Endings[static_cast<int>(Ending::Wrong)] == 0 ? 0 : 1;
}
