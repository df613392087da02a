#include "net/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace siskinstage {

namespace {

/// A higher level saves 3% of a configuration and takes twice as long.
constexpr int FastestLevel = 1;
constexpr std::size_t ChunkBytes = 16 * 1024;

} // namespace

std::string deflate(const std::string &Text) {
  std::ostringstream Compressed;
  Poco::DeflatingOutputStream Stream(
      Compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB, FastestLevel);
  Stream.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  Stream.close();
  return std::move(Compressed).str();
}

Result<std::string> inflate(const std::string &Bytes, std::size_t MaxBytes,
                            const std::string &Peer) {
  std::istringstream Compressed(Bytes);
  Poco::InflatingInputStream Stream(Compressed,
                                    Poco::InflatingStreamBuf::STREAM_ZLIB);
  std::string Text;
  std::array<char, ChunkBytes> Chunk{};
  while (Stream.good()) {
    Stream.read(Chunk.data(), static_cast<std::streamsize>(Chunk.size()));
    Text.append(Chunk.data(), static_cast<std::size_t>(Stream.gcount()));
    if (Text.size() > MaxBytes)
      return tl::unexpected(
          Error{Step::ReadResponse, Peer, "the body is too long", true});
  }
  // The stream is bad, not only at its end, if the bytes are malformed.
  if (Stream.bad())
    return fail(Step::ReadResponse, Peer, "the compressed body is malformed");
  return Text;
}

} // namespace siskinstage
