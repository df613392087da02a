#ifndef SISKINSTAGE_CORE_BOUNDED_RING_H
#define SISKINSTAGE_CORE_BOUNDED_RING_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace siskinstage {

/// A ring of fixed size between many producers and one consumer. A push into a
/// full ring drops the value and counts it; neither side ever blocks.
template <typename T> class BoundedRing {
public:
  /// \param Size number of places, a power of two.
  explicit BoundedRing(std::size_t Size)
      : Mask(Size - 1), Cells(std::make_unique<Cell[]>(Size)) {
    for (std::size_t I = 0; I < Size; ++I)
      this->Cells[I].Turn.store(I, std::memory_order_relaxed);
  }

  /// \returns false if the ring was full and \p Value is dropped.
  bool push(T Value) {
    std::size_t At = this->Head.load(std::memory_order_relaxed);
    while (true) {
      Cell &Place = this->Cells[At & this->Mask];
      const std::size_t Turn = Place.Turn.load(std::memory_order_acquire);
      const auto Ahead =
          static_cast<std::intptr_t>(Turn) - static_cast<std::intptr_t>(At);
      if (Ahead < 0) {
        this->DroppedCount.fetch_add(1, std::memory_order_relaxed);
        return false;
      }
      if (Ahead > 0) {
        At = this->Head.load(std::memory_order_relaxed);
        continue;
      }
      if (this->Head.compare_exchange_weak(At, At + 1,
                                           std::memory_order_relaxed)) {
        Place.Value = std::move(Value);
        Place.Turn.store(At + 1, std::memory_order_release);
        return true;
      }
    }
  }

  /// Takes the oldest value; only one thread may call this.
  std::optional<T> pop() {
    Cell &Place = this->Cells[this->Tail & this->Mask];
    if (Place.Turn.load(std::memory_order_acquire) != this->Tail + 1)
      return std::nullopt;
    std::optional<T> Value(std::move(Place.Value));
    Place.Turn.store(this->Tail + this->Mask + 1, std::memory_order_release);
    ++this->Tail;
    return Value;
  }

  /// Values dropped so far.
  [[nodiscard]] std::uint64_t droppedCount() const {
    return this->DroppedCount.load(std::memory_order_relaxed);
  }

private:
  /// One place; Turn tells whose turn it is to use it.
  struct Cell {
    std::atomic<std::size_t> Turn{0};
    T Value{};
  };

  std::size_t Mask;
  std::unique_ptr<Cell[]> Cells;
  std::atomic<std::size_t> Head{0};
  std::size_t Tail = 0;
  std::atomic<std::uint64_t> DroppedCount{0};
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_BOUNDED_RING_H
