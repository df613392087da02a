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
  Duration Offset{};         ///< From the start of the run.
  double CostUs = 0;         ///< Processing time at a stand-in target.
  std::uint32_t Account = 0; ///< Number of the client account.
};

/// Draws the arrivals of a run from its seed: a Poisson process with
/// log-uniform costs.
std::vector<Arrival> planArrivals(const LoadOptions &Options);

/// Sends scheduled requests one at a time. All workers share one plan and take
/// the next arrival from it when they are idle.
class LoadWorker {
public:
  LoadWorker(const LoadOptions &Options, const std::vector<Arrival> &Plan,
             std::atomic<std::size_t> &NextIndex, Instant Start,
             std::uint64_t Seed);

  /// Runs until all arrivals of the plan are taken.
  void run();
  [[nodiscard]] std::vector<LoadSample> &samples() { return this->Samples; }

private:
  /// Entries of a client account, as a node returned them.
  struct EntryList {
    std::vector<Address> Addresses;
    std::string KeyPrefix;
    Instant ValidUntil;
  };

  const LoadOptions &Options;
  const std::vector<Arrival> &Plan;
  std::atomic<std::size_t> &NextIndex;
  Instant Start;
  Random RandomSource;
  std::vector<LoadSample> Samples;
  std::map<std::uint32_t, EntryList> EntriesByAccount;
  std::map<Address, std::unique_ptr<TcpConnection>> Connections;
  bool ConnectFailed = false; ///< The last attempt could not connect.

  /// Sends the request of the arrival at \p Index and records its sample.
  void executeArrival(std::size_t Index);
  /// Returns the cached entries of the account and fetches them again once they
  /// have expired. Expired entries are used if the fetch fails.
  /// \returns null if there are none.
  const EntryList *entriesFor(std::uint32_t Account);
  std::optional<EntryList> fetchEntries(std::uint32_t Account);
  /// Sends the request to the entries in turn. Skips entries that can't be
  /// connected to; resends after a broken or unknown outcome.
  void sendWithResends(const EntryList &Entries, std::size_t Index,
                       const Poco::Net::HTTPRequest &Request,
                       const std::string &Body, LoadSample &Sample);
  /// Sends the request once and sets the status of \p Sample.
  RequestOutcome attempt(const Address &Endpoint,
                         const Poco::Net::HTTPRequest &Request,
                         const std::string &Body, LoadSample &Sample);
  /// Sends the request on a kept or new connection and reads the response.
  ReadResult<HttpResponse> send(const Address &Endpoint,
                                const Poco::Net::HTTPRequest &Request,
                                const std::string &Body);
  /// Determines the outcome and verifies the content of the response.
  RequestOutcome classify(const HttpResponse &Response, const std::string &Body,
                          const LoadSample &Sample) const;
};

} // namespace siskinstage::load

#endif // SISKINSTAGE_TOOLS_SISKINLOAD_LOAD_WORKER_H
