#include "siskinstage/error.h"

#include <utility>

namespace siskinstage {

const char *stepName(Step FailedStep) {
  switch (FailedStep) {
  case Step::Settings:
    return "settings";
  case Step::Records:
    return "records";
  case Step::ReadRequest:
    return "read-request";
  case Step::Route:
    return "route";
  case Step::Account:
    return "account";
  case Step::Limit:
    return "limit";
  case Step::Key:
    return "key";
  case Step::Queue:
    return "queue";
  case Step::Connect:
    return "connect";
  case Step::SendRequest:
    return "send-request";
  case Step::ReadResponse:
    return "read-answer";
  case Step::SendResponse:
    return "send-answer";
  case Step::Forward:
    return "forward";
  case Step::Platform:
    return "platform";
  case Step::Listen:
    return "listen";
  case Step::Shutdown:
    return "shutdown";
  }
  return "unknown-step";
}

std::string Error::text() const {
  std::string Text = stepName(this->FailedStep);
  if (!this->Peer.empty())
    Text += " " + this->Peer;
  return Text + ": " + this->Reason;
}

tl::unexpected<Error> fail(Step FailedStep, std::string Peer,
                           std::string Reason) {
  return tl::unexpected<Error>(
      Error{FailedStep, std::move(Peer), std::move(Reason)});
}

} // namespace siskinstage
