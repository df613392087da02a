#include "node/refusal.h"

#include <json/value.h>
#include <json/writer.h>

namespace siskinstage {

const char *retryAdvice(const Refusal &Refused, bool Keyed) {
  if (Refused.What == Outcome::Unknown)
    return Keyed ? "resend with the same key" : "ask before sending again";
  if (Refused.Status >= 400 && Refused.Status < 500 && Refused.Status != 429)
    return "correct the request";
  return Keyed ? "send with a new key" : "send again later";
}

std::string refusalBody(const Refusal &Refused, bool Keyed) {
  Json::Value Body(Json::objectValue);
  Body["outcome"] = outcomeName(Refused.What);
  Body["step"] = stepName(Refused.Cause.Where);
  Body["peer"] = Refused.Cause.Peer;
  Body["reason"] = Refused.Cause.Reason;
  Body["retry"] = retryAdvice(Refused, Keyed);
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Body) + "\n";
}

} // namespace siskinstage
