#include "core/callers/chunk_decoder.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <charconv>

namespace siskinstage {

namespace {

constexpr std::size_t MaxSizeDigits = 15;
constexpr int HexBase = 16;

} // namespace

HttpResult<ChunkDecoder::Progress> ChunkDecoder::step(std::string_view Input) {
  if (Input.empty() || this->Current == State::Done)
    return Progress{};
  if (this->Current != State::Data)
    return this->stepLine(Input);
  const auto Taken = static_cast<std::size_t>(
      std::min<std::uint64_t>(this->Remaining, Input.size()));
  this->Remaining -= Taken;
  if (this->Remaining == 0)
    this->Current = State::DataEnd;
  return Progress{Taken, Input.substr(0, Taken)};
}

HttpResult<ChunkDecoder::Progress>
ChunkDecoder::stepLine(std::string_view Input) {
  const std::size_t End = Input.find('\n');
  const bool Complete = End != std::string_view::npos;
  const std::size_t Taken = Complete ? End + 1 : Input.size();
  this->Line += Input.substr(0, Taken);
  if (this->Line.size() > config::MaxChunkLineBytes)
    return refuse(400, "a chunk's line is longer than 256 bytes");
  if (!Complete)
    return Progress{Taken, {}};
  if (this->Line.size() < 2 || this->Line[this->Line.size() - 2] != '\r')
    return refuse(400, "a chunk's line does not end in CRLF");
  this->Line.resize(this->Line.size() - 2);
  if (this->Line.find('\r') != std::string::npos)
    return refuse(400, "a chunk's line holds a bare CR");

  HttpResult<void> Ended;
  if (this->Current == State::SizeLine)
    Ended = this->endSizeLine();
  else if (this->Current == State::Trailer)
    Ended = this->endTrailerLine();
  else if (this->Line.empty())
    this->Current = State::SizeLine;
  else
    Ended = refuse(400, "a chunk is longer than its size");
  this->Line.clear();
  if (!Ended)
    return tl::unexpected<HttpRefusal>(Ended.error());
  return Progress{Taken, {}};
}

HttpResult<void> ChunkDecoder::endSizeLine() {
  const std::string_view Size =
      std::string_view(this->Line).substr(0, this->Line.find(';'));
  if (Size.empty() || Size.size() > MaxSizeDigits)
    return refuse(400, "a chunk's size is not 1 to 15 hexadecimal digits");
  const char *End = Size.data() + Size.size();
  const auto [Next, Fault] =
      std::from_chars(Size.data(), End, this->Remaining, HexBase);
  if (Fault != std::errc{} || Next != End)
    return refuse(400, "a chunk's size is not hexadecimal");
  this->Current = this->Remaining == 0 ? State::Trailer : State::Data;
  return {};
}

HttpResult<void> ChunkDecoder::endTrailerLine() {
  if (this->Line.empty()) {
    this->Current = State::Done;
    return {};
  }
  this->TrailerBytes += this->Line.size();
  if (this->TrailerBytes > config::MaxTrailerBytes)
    return refuse(431, "the trailers are longer than 4096 bytes");
  return {};
}

} // namespace siskinstage
