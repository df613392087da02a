#ifndef SISKINSTAGE_CORE_RANDOM_H
#define SISKINSTAGE_CORE_RANDOM_H

#include <cstdint>
#include <pcg_random.hpp>

namespace siskinstage {

/// Pseudorandom number generator. Functions of the core get it as an argument,
/// so that their results are reproducible.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// An integer from 0 to \p Count - 1. \pre \p Count > 0.
  std::uint32_t below(std::uint32_t Count) { return this->Engine(Count); }
  /// A number from 0, inclusive, to 1, exclusive.
  double unit() { return static_cast<double>(this->Engine()) * 0x1p-32; }

private:
  pcg32 Engine;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RANDOM_H
