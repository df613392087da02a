#include "core/requests/account_limiter.h"

#include <algorithm>
#include <chrono>

namespace siskinstage {

void AccountLimiter::configure(double RatePerSecond, double Concurrency) {
  this->Rate = RatePerSecond;
  this->MaxInFlight = Concurrency > 0 ? std::max(1.0, Concurrency) : 0;
  this->Tokens = std::min(this->Tokens, this->burst());
}

double AccountLimiter::burst() const { return std::max(1.0, this->Rate); }

void AccountLimiter::refill(Instant Now) {
  if (!this->Started) {
    this->Started = true;
    this->Tokens = this->burst();
    this->LastRefill = Now;
    return;
  }
  const std::chrono::duration<double> Elapsed = Now - this->LastRefill;
  this->Tokens =
      std::min(this->burst(),
               this->Tokens + std::max(0.0, Elapsed.count()) * this->Rate);
  this->LastRefill = std::max(this->LastRefill, Now);
}

AccountLimiter::Admission AccountLimiter::admit(Instant Now) {
  if (this->MaxInFlight > 0 && this->InFlight + 1 > this->MaxInFlight)
    return Admission::ConcurrencyExceeded;
  if (this->Rate > 0) {
    this->refill(Now);
    if (this->Tokens < 1.0)
      return Admission::RateExceeded;
    this->Tokens -= 1.0;
  }
  ++this->InFlight;
  return Admission::Admitted;
}

void AccountLimiter::release() {
  if (this->InFlight > 0)
    --this->InFlight;
}

Duration AccountLimiter::timeUntilToken() const {
  if (this->Rate <= 0)
    return Duration::zero();
  const double Missing = std::max(0.0, 1.0 - this->Tokens);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Missing / this->Rate));
}

} // namespace siskinstage
