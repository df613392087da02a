#include "node/rate_limit_log.h"
#include "node/log.h"
#include "node/service_gate.h"
#include "node/snapshot.h"

namespace siskinstage {

void logRateLimit(const ServiceView &Service, const TargetView &Target,
                  const std::string &Source) {
  const ServiceGate::RateLimitView Limit =
      Service.Gate->rateLimit(Service, Target);
  const bool Limited = Limit.State.PerSecond > 0;
  logEvent(LogLevel::Info,
           "target " + Target.Spec.Id.str() + " of service " +
               Service.Record.Name.str() +
               (Limited ? " limits its rate" : " no longer limits its rate"),
           {{"limit_per_s", std::to_string(Limit.State.PerSecond)},
            {"share_per_s", std::to_string(Limit.Share.PerSecond)},
            {"version", std::to_string(Limit.State.Version)},
            {"known_from", Source}});
}

} // namespace siskinstage
