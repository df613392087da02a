#include "core/retry_budget.h"

#include <algorithm>

namespace siskinstage {

RetryBudget::RetryBudget(double Fraction, double Burst)
    : Fraction(Fraction), Burst(Burst), Earned(Burst) {}

void RetryBudget::configure(double NewFraction, double NewBurst) {
  this->Fraction = NewFraction;
  this->Burst = NewBurst;
  this->Earned = std::min(this->Earned, NewBurst);
}

void RetryBudget::addFirstAttempt() {
  this->Earned = std::min(this->Burst, this->Earned + this->Fraction);
}

bool RetryBudget::takeRetry() {
  if (this->Earned < 1.0)
    return false;
  this->Earned -= 1.0;
  return true;
}

} // namespace siskinstage
