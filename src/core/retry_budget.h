#ifndef SISKINSTAGE_CORE_RETRY_BUDGET_H
#define SISKINSTAGE_CORE_RETRY_BUDGET_H

namespace siskinstage {

/// Allows retries as a share of first tries. Each first try earns a fraction of
/// a retry; what is earned is kept up to a burst.
class RetryBudget {
public:
  /// \param Fraction retries earned by one first try, 0 to 1.
  /// \param Burst    the most retries that can be kept.
  RetryBudget(double Fraction, double Burst);

  /// Changes the limits; of what is kept, what is above the new burst goes.
  void configure(double Fraction, double Burst);
  /// Begins anew with \p Kept retries.
  void restart(double Kept) { this->Earned = Kept; }
  void addFirstAttempt();
  /// Takes one retry from the budget. \returns false if there is none.
  [[nodiscard]] bool takeRetry();
  [[nodiscard]] double left() const { return this->Earned; }

private:
  double Fraction;
  double Burst;
  double Earned;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RETRY_BUDGET_H
