#include "node/requests/open_requests.h"
#include "net/boot_time.h"
#include "node/operators/log.h"

#include <utility>

namespace siskinstage {

namespace {

const char *stageName(RequestProgress::Stage Value) {
  switch (Value) {
  case RequestProgress::Stage::Body:
    return "body";
  case RequestProgress::Stage::Slot:
    return "slot";
  case RequestProgress::Stage::Thread:
    return "thread";
  case RequestProgress::Stage::AtTarget:
    return "at-target";
  case RequestProgress::Stage::AtKeyOwner:
    return "at-key-owner";
  case RequestProgress::Stage::Response:
    return "response";
  }
  return "unknown";
}

std::string millisText(Duration Length) {
  return std::to_string(std::chrono::duration_cast<Millis>(Length).count());
}

} // namespace

std::size_t OpenRequests::count() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Open.size();
}

void OpenRequests::log(const std::string &What) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const RequestProgress *Request : this->Open)
    logEvent(LogLevel::Warn, "request " + Request->Id.str() + " " + What,
             {{"stage", stageName(Request->Current.load())},
              {"stage_ms", millisText(Now - Request->Since.load())},
              {"age_ms", millisText(Now - Request->Arrived)}});
}

RequestProgress::RequestProgress(OpenRequests &All, RequestId Id,
                                 Instant Arrived)
    : All(All), Id(std::move(Id)), Arrived(Arrived), Since(Arrived) {
  const std::lock_guard<std::mutex> Guard(this->All.Lock);
  this->All.Open.insert(this);
}

RequestProgress::~RequestProgress() {
  const std::lock_guard<std::mutex> Guard(this->All.Lock);
  this->All.Open.erase(this);
}

void RequestProgress::reach(Stage Next) {
  if (this->Current.load() == Next)
    return;
  this->Current.store(Next);
  this->Since.store(bootNow());
}

} // namespace siskinstage
