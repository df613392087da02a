#include "node/targets/gate_rejection.h"

namespace siskinstage {

Error refusalCause(GateRejection::Refusal Reason, const std::string &Service) {
  switch (Reason) {
  case GateRejection::Refusal::NoTarget:
    return {Step::Queue, Service, "no target is left to try"};
  case GateRejection::Refusal::QueueFull:
    return {Step::Queue, Service, "too many requests wait for a slot"};
  case GateRejection::Refusal::TooLate:
    return {Step::Queue, Service, "no slot comes free before the deadline"};
  case GateRejection::Refusal::Displaced:
    return {Step::Queue, Service, "a more urgent request took its place"};
  case GateRejection::Refusal::Restricted:
    return {Step::Queue, Service, "what the targets state leaves no room"};
  case GateRejection::Refusal::NoService:
    return {Step::Route, Service, "the service is not configured"};
  case GateRejection::Refusal::Draining:
    return {Step::Queue, Service, "the node is shutting down"};
  }
  return {Step::Queue, Service, "refused"};
}

const char *refusalName(GateRejection::Refusal Reason) {
  switch (Reason) {
  case GateRejection::Refusal::NoTarget:
    return "no_target";
  case GateRejection::Refusal::QueueFull:
    return "full";
  case GateRejection::Refusal::TooLate:
    return "too_late";
  case GateRejection::Refusal::Displaced:
    return "displaced";
  case GateRejection::Refusal::Restricted:
    return "restricted";
  case GateRejection::Refusal::NoService:
    return "no_service";
  case GateRejection::Refusal::Draining:
    return "draining";
  }
  return "other";
}

} // namespace siskinstage
