#include "node/targets/prober.h"
#include "net/boot_time.h"
#include "net/http_client.h"
#include "node/node_context.h"
#include "node/snapshot.h"
#include "node/targets/notice_fields.h"
#include "node/targets/notice_log.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

namespace {

constexpr std::size_t MaxResponseBytes = 16 * 1024;

using ProbeTarget =
    std::pair<std::shared_ptr<const ServiceView>, const TargetView *>;

std::vector<ProbeTarget> allTargets(const Snapshot &Current) {
  std::vector<ProbeTarget> Targets;
  Current.ServiceViews.forEach([&](const ServiceName &, const auto &Service) {
    for (const TargetView &Target : Service->Targets)
      Targets.emplace_back(Service, &Target);
  });
  return Targets;
}

} // namespace

Prober::Prober(NodeContext &Context, std::uint64_t Seed)
    : Context(Context), Generator(Seed) {}

void Prober::run() {
  while (!this->Context.Stop.stopped()) {
    const auto Targets = allTargets(*this->Context.Snapshots.get());
    // The probes of one round are spread over the period, with jitter.
    const Duration Gap =
        Duration(this->Context.NodeSettings.ProbePeriod) /
        static_cast<std::int64_t>(std::max<std::size_t>(Targets.size(), 1));
    for (const auto &[Service, Target] : Targets) {
      const auto Jittered = std::chrono::duration_cast<Duration>(
          Gap * 2 * this->Generator.unit());
      if (this->Context.Stop.sleep(Jittered))
        return;
      this->probe(*Service, *Target);
    }
    if (Targets.empty())
      this->Context.Stop.sleep(config::DecisionPeriod);
  }
}

bool Prober::recordNotices(const ServiceView &Service, const TargetView &Target,
                           const Poco::Net::HTTPResponse &Head, Instant Sent) {
  const StatedNotices Stated =
      statedNotices(this->Context.NodeSettings.HeaderDialect, Head);
  // A health check may not know the limit of the work, so it does not end it.
  const auto Made =
      Service.Gate->hearNotices(Service, Target, Stated, Sent, true);
  logNotices(Service, Target, Stated, Made, "probe");
  return Made.Leaving;
}

void Prober::probe(const ServiceView &Service, const TargetView &Target) {
  const Instant Started = bootNow();
  Target.Gauge->Pool.expire(Started);
  if (!Service.Gate->takeProbe(Service, Target))
    return;
  const auto Response =
      getOnNewConnection(Target.Spec.Endpoint, Service.Record.HealthPath,
                         MaxResponseBytes, Started + config::ProbeTimeout);
  Observation Sample = {Service.Record.Name, Target.Spec.Id, Evidence::Success,
                        bootNow() - Started, bootNow(),      true};
  if (!Response)
    Sample.Kind = Response.error().FailedStep == Step::Connect
                      ? Evidence::ConnectFailed
                      : Evidence::Timeout;
  else if (this->recordNotices(Service, Target, Response->Head, Started))
    Sample.Kind = Evidence::Leaving;
  else if (Response->Head.getStatus() >= 500)
    Sample.Kind = Evidence::Failure;
  if (Sample.Kind == Evidence::Leaving)
    Target.Gauge->AnnouncedLeaving.store(true);
  this->Context.postObservation(std::move(Sample));
}

} // namespace siskinstage
