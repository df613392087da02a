#include "core/requests/retry_budget.h"

#include <algorithm>

namespace siskinstage {

RetryBudget::RetryBudget(double Fraction, double Burst)
    : Fraction(Fraction), Burst(Burst), Tokens(Burst) {}

void RetryBudget::configure(double NewFraction, double NewBurst) {
  this->Fraction = NewFraction;
  this->Burst = NewBurst;
  this->Tokens = std::min(this->Tokens, NewBurst);
}

void RetryBudget::addFirstAttempt() {
  this->Tokens = std::min(this->Burst, this->Tokens + this->Fraction);
}

bool RetryBudget::takeRetry() {
  if (this->Tokens < 1.0)
    return false;
  this->Tokens -= 1.0;
  return true;
}

} // namespace siskinstage
