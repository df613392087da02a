#include "node/requests/refusal.h"
#include "core/random.h"
#include "net/boot_time.h"
#include "siskinstage/config.h"

#include <json/value.h>
#include <json/writer.h>

namespace siskinstage {

int statusForOutcome(int Status, Outcome RequestOutcome) {
  constexpr int NotRun = 503;
  constexpr int Failed = 502;
  constexpr int TimedOut = 504;
  if (RequestOutcome == Outcome::NotRun)
    return NotRun;
  return Status == TimedOut ? TimedOut : Failed;
}

Duration randomRetryAfter() {
  thread_local Random Rng(
      static_cast<std::uint64_t>(bootNow().time_since_epoch().count()));
  const Duration Span = config::MaxRetryAfter - config::MinRetryAfter;
  return config::MinRetryAfter +
         std::chrono::duration_cast<Duration>(Span * Rng.unit());
}

const char *retryAdvice(const Refusal &Refused, bool Keyed) {
  if (Refused.RequestOutcome == Outcome::Unknown)
    return Keyed ? "resend with the same key" : "ask before sending again";
  // 501 and 505 are due to the request itself, so a retry can't succeed.
  const bool Retryable = Refused.Status == 408 || Refused.Status == 429 ||
                         Refused.Status == 502 || Refused.Status == 503 ||
                         Refused.Status == 504;
  if (!Retryable)
    return "correct the request";
  return Keyed ? "send with a new key" : "send again later";
}

std::string refusalBody(const Refusal &Refused, bool Keyed) {
  Json::Value Body(Json::objectValue);
  Body["outcome"] = outcomeName(Refused.RequestOutcome);
  Body["step"] = stepName(Refused.Cause.FailedStep);
  Body["peer"] = Refused.Cause.Peer;
  Body["reason"] = Refused.Cause.Reason;
  Body["retry"] = retryAdvice(Refused, Keyed);
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Body) + "\n";
}

} // namespace siskinstage
