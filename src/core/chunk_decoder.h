#ifndef SISKINSTAGE_CORE_CHUNK_DECODER_H
#define SISKINSTAGE_CORE_CHUNK_DECODER_H

#include "core/http_refusal.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinstage {

/// Decodes a chunked body piece by piece. Strict: a size is one to fifteen
/// hexadecimal digits, lines end in CRLF, and only the last chunk ends the
/// body. Extensions and trailers are read over and dropped.
class ChunkDecoder {
public:
  /// What one call took from its input.
  struct Progress {
    std::size_t Consumed = 0; ///< Bytes taken from the input.
    std::string_view Data;    ///< Body bytes, a part of the input.
  };

  /// Takes some bytes of \p Input; call it again with the rest until it
  /// consumes nothing or the body is done.
  HttpResult<Progress> step(std::string_view Input);

  [[nodiscard]] bool done() const { return this->Now == State::Done; }

private:
  enum class State { SizeLine, Data, DataEnd, Trailer, Done };
  State Now = State::SizeLine;
  std::string Line;            ///< The size or trailer line read so far.
  std::uint64_t Remaining = 0; ///< Bytes left of the current chunk.
  std::size_t TrailerBytes = 0;

  HttpResult<Progress> stepLine(std::string_view Input);
  HttpResult<void> endSizeLine();
  HttpResult<void> endTrailerLine();
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_CHUNK_DECODER_H
