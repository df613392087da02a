#ifndef SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_WORKER_H
#define SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_WORKER_H

#include "core/random.h"
#include "load_options.h"
#include "load_result.h"
#include "net/http_client.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>

namespace siskinstage::load {

/// One scheduled request.
struct Arrival {
  Duration At{}; ///< From the start of the run.
  double CostUs = 0;
  std::uint32_t Account = 0;
};

/// The arrivals of a run, from its seed: exponential gaps, log-uniform costs.
std::vector<Arrival> planArrivals(const LoadOptions &Options);

/// Sends scheduled requests one at a time; many workers share one plan.
class LoadWorker {
public:
  LoadWorker(const LoadOptions &Options, const std::vector<Arrival> &Plan,
             std::atomic<std::size_t> &Next, Instant Start, std::uint64_t Seed);

  /// Takes arrivals until the plan is used up.
  void run();
  [[nodiscard]] std::vector<LoadSample> &samples() { return this->Samples; }

private:
  /// What a node said of its entries.
  struct Entries {
    std::vector<Address> Addresses;
    std::string KeyPrefix;
    Instant Until;
  };

  const LoadOptions &Options;
  const std::vector<Arrival> &Plan;
  std::atomic<std::size_t> &Next;
  Instant Start;
  Random Dice;
  std::vector<LoadSample> Samples;
  std::map<std::uint32_t, Entries> Known; ///< By account.
  std::map<Address, std::unique_ptr<Wire>> Connections;
  bool NoConnection = false; ///< The last try got no connection.

  void serve(std::size_t Index);
  /// Entries for the account, asked anew when their time is over.
  const Entries *entries(std::uint32_t Account);
  std::optional<Entries> askEntries(std::uint32_t Account);
  /// Tries the entries in turn until one gives an end.
  void tryAll(const Entries &Using, std::size_t Index,
              const Poco::Net::HTTPRequest &Request, const std::string &Body,
              LoadSample &Sample);
  Ending tryOnce(const Address &Where, const Poco::Net::HTTPRequest &Request,
                 const std::string &Body, LoadSample &Sample);
  ReadResult<HttpResponse> send(const Address &Where,
                                const Poco::Net::HTTPRequest &Request,
                                const std::string &Body);
  Ending judge(const HttpResponse &Answer, const std::string &Body,
               const LoadSample &Sample) const;
};

} // namespace siskinstage::load

#endif // SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_WORKER_H
