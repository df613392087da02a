#ifndef SISKINSTAGE_CORE_BOUNDED_RING_H
#define SISKINSTAGE_CORE_BOUNDED_RING_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace siskinstage {

/// A lock-free ring buffer of fixed size for several producers and one
/// consumer. A push into a full ring drops the value and counts it; neither
/// side blocks.
template <typename T> class BoundedRing {
public:
  /// \param Size number of cells, a power of two.
  explicit BoundedRing(std::size_t Size)
      : Mask(Size - 1), Cells(std::make_unique<Cell[]>(Size)) {
    for (std::size_t I = 0; I < Size; ++I)
      this->Cells[I].Sequence.store(I, std::memory_order_relaxed);
  }

  /// \returns false if the ring was full and \p Value was dropped.
  bool push(T Value) {
    std::size_t Index = this->PushIndex.load(std::memory_order_relaxed);
    while (true) {
      Cell &Current = this->Cells[Index & this->Mask];
      const std::size_t Sequence =
          Current.Sequence.load(std::memory_order_acquire);
      const auto Ahead = static_cast<std::intptr_t>(Sequence) -
                         static_cast<std::intptr_t>(Index);
      if (Ahead < 0) {
        this->DroppedCount.fetch_add(1, std::memory_order_relaxed);
        return false;
      }
      if (Ahead > 0) {
        Index = this->PushIndex.load(std::memory_order_relaxed);
        continue;
      }
      if (this->PushIndex.compare_exchange_weak(Index, Index + 1,
                                                std::memory_order_relaxed)) {
        Current.Value = std::move(Value);
        Current.Sequence.store(Index + 1, std::memory_order_release);
        return true;
      }
    }
  }

  /// Removes the oldest value. Only one thread may call this.
  /// \returns nothing if the ring is empty.
  std::optional<T> pop() {
    Cell &Current = this->Cells[this->PopIndex & this->Mask];
    if (Current.Sequence.load(std::memory_order_acquire) != this->PopIndex + 1)
      return std::nullopt;
    std::optional<T> Value(std::move(Current.Value));
    Current.Sequence.store(this->PopIndex + this->Mask + 1,
                           std::memory_order_release);
    ++this->PopIndex;
    return Value;
  }

  /// Values dropped so far.
  [[nodiscard]] std::uint64_t droppedCount() const {
    return this->DroppedCount.load(std::memory_order_relaxed);
  }

private:
  /// Sequence equals the index of the push that may write the cell next; it is
  /// one higher once the value may be popped.
  struct Cell {
    std::atomic<std::size_t> Sequence{0};
    T Value{};
  };

  std::size_t Mask;
  std::unique_ptr<Cell[]> Cells;
  std::atomic<std::size_t> PushIndex{0};
  std::size_t PopIndex = 0;
  std::atomic<std::uint64_t> DroppedCount{0};
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_BOUNDED_RING_H
