#ifndef SISKINSTAGE_CORE_REQUESTS_RETRY_BUDGET_H
#define SISKINSTAGE_CORE_REQUESTS_RETRY_BUDGET_H

namespace siskinstage {

/// Limits retries to a fraction of first attempts: a token bucket of retries,
/// to which each first attempt adds a fraction of a retry.
class RetryBudget {
public:
  /// \param Fraction retries that one first attempt adds, 0 to 1.
  /// \param Burst    maximum number of retries in the bucket.
  RetryBudget(double Fraction, double Burst);

  /// Changes the limits; retries above the new burst are discarded.
  void configure(double Fraction, double Burst);
  /// Sets the number of retries in the bucket.
  void setRetries(double Retries) { this->Tokens = Retries; }
  void addFirstAttempt();
  /// Takes one retry from the bucket. \returns false if there is none.
  [[nodiscard]] bool takeRetry();
  [[nodiscard]] double retriesLeft() const { return this->Tokens; }

private:
  double Fraction;
  double Burst;
  double Tokens;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_RETRY_BUDGET_H
