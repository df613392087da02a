#include "node/callers/request_body.h"
#include "net/boot_time.h"
#include "node/drain_state.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace siskinstage {

namespace {

ReadFault lateBody() {
  return ConnectionFault{ConnectionFault::Kind::Timeout,
                         "the body did not come whole in time"};
}

bool isTimeout(const ReadFault &Fault) {
  const auto *Cause = std::get_if<ConnectionFault>(&Fault);
  return Cause != nullptr && Cause->Cause == ConnectionFault::Kind::Timeout;
}

} // namespace

void RequestBody::HashDeleter::operator()(XXH3_state_s *State) const {
  XXH3_freeState(State);
}

RequestBody::RequestBody(TcpConnection &Caller, const BodyFraming &Framing,
                         bool ExpectContinue, Instant Deadline,
                         const DrainState &Drain)
    : Caller(Caller), Framing(Framing), Reader(Framing),
      ContinueDue(ExpectContinue), BodyDeadline(Deadline), Drain(Drain),
      LastInput(bootNow()), Hash(XXH3_createState()) {
  XXH3_64bits_reset(this->Hash.get());
}

RequestBody::~RequestBody() = default;

ReadResult<void> RequestBody::readInto(std::string &Into) {
  if (this->Reader.done())
    return {};
  const Instant Now = bootNow();
  // The deadline is checked here too: reads from a caller that always has a few
  // bytes ready don't wait, and so never time out.
  const Instant Limit = this->Drain.sendLimit(this->BodyDeadline);
  if (Now >= Limit)
    return tl::unexpected<ReadFault>(lateBody());
  const Instant Deadline = std::min(Limit, Now + config::BodyStallTimeout);
  const auto Continued = this->sendContinue(Deadline);
  if (!Continued)
    return Continued;
  const std::size_t Before = Into.size();
  const auto Read = this->awaitBytes(Into, Deadline);
  if (!Read)
    return Read;
  return this->addRead(Into, Before);
}

ReadResult<void> RequestBody::sendContinue(Instant Limit) {
  const bool Due = std::exchange(this->ContinueDue, false);
  if (!Due || !this->Caller.buffered().empty())
    return {};
  const auto Written =
      this->Caller.write("HTTP/1.1 100 Continue\r\n\r\n", Limit);
  if (!Written)
    return tl::unexpected<ReadFault>(Written.error());
  return {};
}

ReadResult<void> RequestBody::addRead(const std::string &Into,
                                      std::size_t Before) {
  const std::size_t BytesRead = Into.size() - Before;
  XXH3_64bits_update(this->Hash.get(), Into.data() + Before, BytesRead);
  this->Total += BytesRead;
  if (this->Total > config::MaxBodyBytes)
    return tl::unexpected<ReadFault>(
        HttpRefusal{413, "the body is longer than 64 MiB"});
  return {};
}

ReadResult<void> RequestBody::awaitBytes(std::string &Into,
                                         Instant StallLimit) {
  while (true) {
    // The limit may have moved forward since the last wait.
    const Instant Limit =
        std::min(StallLimit, this->Drain.sendLimit(this->BodyDeadline));
    const auto Read = this->Reader.read(
        this->Caller, Into,
        std::min(Limit, bootNow() + config::DrainCheckPeriod));
    if (Read)
      return Read;
    if (!isTimeout(Read.error()) || bootNow() >= Limit)
      return Read;
  }
}

bool RequestBody::isReplayBufferFull() const {
  return this->ReplayBuffer.size() >= config::ReplayBufferBytes;
}

Instant RequestBody::inputLimit() const {
  return std::min(this->Drain.sendLimit(this->BodyDeadline),
                  this->LastInput + config::BodyStallTimeout);
}

ReadResult<bool> RequestBody::fillAvailable() {
  while (!this->Reader.done() && !this->isReplayBufferFull()) {
    const Instant Now = bootNow();
    // The deadline is checked before each read: a caller that always has a few
    // bytes ready must not hold the thread longer.
    if (Now >= this->inputLimit())
      return tl::unexpected<ReadFault>(lateBody());
    const auto Continued = this->sendContinue(Now);
    if (!Continued)
      return tl::unexpected<ReadFault>(Continued.error());
    const std::size_t Before = this->ReplayBuffer.size();
    const auto Read = this->Reader.read(this->Caller, this->ReplayBuffer, Now);
    if (!Read && !isTimeout(Read.error()))
      return tl::unexpected<ReadFault>(Read.error());
    if (!Read)
      return false;
    this->LastInput = Now;
    const auto Added = this->addRead(this->ReplayBuffer, Before);
    if (!Added)
      return tl::unexpected<ReadFault>(Added.error());
  }
  return true;
}

ReadResult<void> RequestBody::fillReplayBuffer() {
  while (!this->Reader.done() && !this->isReplayBufferFull()) {
    const auto Read = this->readInto(this->ReplayBuffer);
    if (!Read)
      return Read;
  }
  return {};
}

ReadResult<std::string> RequestBody::next() {
  std::string Part;
  const auto Read = this->readInto(Part);
  if (!Read)
    return tl::unexpected<ReadFault>(Read.error());
  return Part;
}

ReadResult<void> RequestBody::drain() {
  while (!this->Reader.done()) {
    const auto Part = this->next();
    if (!Part)
      return tl::unexpected<ReadFault>(Part.error());
  }
  return {};
}

bool RequestBody::replayable() const {
  return this->Reader.done() && this->Total == this->ReplayBuffer.size();
}

std::optional<std::uint64_t> RequestBody::length() const {
  if (const auto *Fixed = std::get_if<FixedBody>(&this->Framing))
    return Fixed->Length;
  if (this->Reader.done())
    return this->Total;
  return std::nullopt;
}

std::uint64_t RequestBody::hash() const {
  return XXH3_64bits_digest(this->Hash.get());
}

} // namespace siskinstage
