#include "node/targets/notice_log.h"
#include "node/operators/log.h"
#include "node/snapshot.h"
#include "node/targets/service_gate.h"

namespace siskinstage {

namespace {

std::string nameOf(const ServiceView &Service, const TargetView &Target) {
  return "target " + Target.Spec.Id.str() + " of service " +
         Service.Record.Name.str();
}

} // namespace

void logRateLimit(const ServiceView &Service, const TargetView &Target,
                  const std::string &Source) {
  const ServiceGate::NoticesView Known = Service.Gate->notices(Service, Target);
  const bool Limited = Known.RateLimit.PerSecond > 0;
  logEvent(LogLevel::Info,
           nameOf(Service, Target) +
               (Limited ? " limits its rate" : " no longer limits its rate"),
           {{"limit_per_s", std::to_string(Known.RateLimit.PerSecond)},
            {"share_per_s", std::to_string(Known.Share.PerSecond)},
            {"version", std::to_string(Known.RateLimit.Version)},
            {"known_from", Source}});
}

void logNotices(const ServiceView &Service, const TargetView &Target,
                const StatedNotices &Stated, const TargetNotices::Effect &Made,
                const std::string &Source) {
  if (Made.RateLimitChanged)
    logRateLimit(Service, Target, Source);
  if (Made.BackOffStarted) {
    const ServiceGate::NoticesView Known =
        Service.Gate->notices(Service, Target);
    logEvent(LogLevel::Info,
             nameOf(Service, Target) + " wants no requests for a time",
             {{"time_ms",
               std::to_string(
                   std::chrono::duration_cast<Millis>(Known.BackOff).count())},
              {"known_from", Source}});
  }
  if (Made.FirstFault)
    logEvent(LogLevel::Warn,
             nameOf(Service, Target) + " states an invalid value",
             {{"fault", Stated.Faults.front()}, {"known_from", Source}});
}

} // namespace siskinstage
