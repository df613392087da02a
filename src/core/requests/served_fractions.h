#ifndef SISKINSTAGE_CORE_REQUESTS_SERVED_FRACTIONS_H
#define SISKINSTAGE_CORE_REQUESTS_SERVED_FRACTIONS_H

#include "core/decayed_sum.h"
#include "siskinstage/units.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace siskinstage {

/// The load it addresses: a lasting shortage in which requests of one kind, or
/// of one account, would always be dropped for others.
///
/// Fractions of requests that were admitted lately, by some key, and overall.
template <typename Key> class ServedFractions {
public:
  void offered(const Key &Of, Instant Now) {
    this->All.Offered.add(1, Now);
    if (this->Parts.size() < MaxParts || this->Parts.count(Of) > 0)
      this->Parts[Of].Offered.add(1, Now);
  }
  /// \param Count 1 for an admitted request, -1 for one dropped again.
  void admitted(const Key &Of, int Count, Instant Now) {
    this->All.Admitted.add(Count, Now);
    const auto Found = this->Parts.find(Of);
    if (Found != this->Parts.end())
      Found->second.Admitted.add(Count, Now);
  }
  /// Whether the admitted fraction of \p Of is less than MinFraction times the
  /// overall one.
  [[nodiscard]] bool starves(const Key &Of, Instant Now) const {
    const auto Found = this->Parts.find(Of);
    if (Found == this->Parts.end())
      return false;
    const Counts &Part = Found->second;
    return Part.Admitted.value(Now) * this->All.Offered.value(Now) <
           MinFraction * this->All.Admitted.value(Now) *
               Part.Offered.value(Now);
  }
  /// Forgets parts that have had no requests for long.
  void sweep(Instant Now) {
    std::erase_if(this->Parts, [Now](const auto &Entry) {
      return Entry.second.Offered.value(Now) < ForgottenRequests;
    });
  }

  /// A quarter is wanted; the rest covers requests that are admitted and then
  /// end after their deadline. At 0.3 the replays serve 0.7% less value.
  static constexpr double MinFraction = 0.26;
  static constexpr std::size_t MaxParts = 16'384;
  static constexpr Duration DecayTime = std::chrono::seconds(5);

private:
  static constexpr double ForgottenRequests = 1e-3;
  struct Counts {
    DecayedSum Offered = DecayedSum(DecayTime);
    DecayedSum Admitted = DecayedSum(DecayTime);
  };
  std::map<Key, Counts> Parts;
  Counts All;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_SERVED_FRACTIONS_H
