#ifndef SISKINSTAGE_CORE_CALLERS_CHUNK_DECODER_H
#define SISKINSTAGE_CORE_CALLERS_CHUNK_DECODER_H

#include "core/callers/http_refusal.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinstage {

/// Incremental decoder of the chunked transfer coding. It is strict: a size has
/// 1 to 15 hexadecimal digits, lines end in CRLF, and only the last chunk with
/// its trailer section ends the body. Chunk extensions and trailer fields are
/// discarded.
class ChunkDecoder {
public:
  /// Result of one decoding step.
  struct Progress {
    std::size_t Consumed = 0; ///< Bytes of the input that were processed.
    std::string_view Data;    ///< Decoded body bytes, a view into the input.
  };

  /// Decodes a prefix of \p Input. Call it again with the rest until it
  /// consumes nothing or the body is done.
  HttpResult<Progress> step(std::string_view Input);

  [[nodiscard]] bool done() const { return this->Current == State::Done; }

private:
  enum class State { SizeLine, Data, DataEnd, Trailer, Done };
  State Current = State::SizeLine;
  std::string Line;            ///< The size or trailer line, as far as read.
  std::uint64_t Remaining = 0; ///< Bytes left in the current chunk.
  std::size_t TrailerBytes = 0;

  HttpResult<Progress> stepLine(std::string_view Input);
  HttpResult<void> endSizeLine();
  HttpResult<void> endTrailerLine();
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_CALLERS_CHUNK_DECODER_H
