#include "core/callers/http_framing.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace siskinstage {

namespace {

constexpr std::size_t MaxLengthDigits = 18;

std::string trimmedLower(std::string Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  const std::size_t Last = Text.find_last_not_of(" \t");
  if (First == std::string::npos)
    return {};
  Text = Text.substr(First, Last - First + 1);
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Byte) { return std::tolower(Byte); });
  return Text;
}

/// Returns the comma-separated items of all values, trimmed and in lower case.
std::vector<std::string> splitList(const std::vector<std::string> &Values) {
  std::vector<std::string> Items;
  for (const std::string &Value : Values) {
    std::size_t Position = 0;
    while (Position <= Value.size()) {
      const std::size_t End = std::min(Value.find(',', Position), Value.size());
      Items.push_back(trimmedLower(Value.substr(Position, End - Position)));
      Position = End + 1;
    }
  }
  return Items;
}

HttpResult<std::uint64_t> parseLength(const std::vector<std::string> &Values) {
  const std::vector<std::string> Items = splitList(Values);
  const std::string &First = Items.front();
  if (!std::all_of(Items.begin(), Items.end(),
                   [&](const std::string &Item) { return Item == First; }))
    return refuse(400, "Content-Length stands there with different values");
  const bool AllDigits =
      !First.empty() && std::all_of(First.begin(), First.end(), [](char Byte) {
        return std::isdigit(static_cast<unsigned char>(Byte)) != 0;
      });
  if (!AllDigits)
    return refuse(400, "Content-Length is not a decimal number");
  if (First.size() > MaxLengthDigits)
    return refuse(413, "Content-Length is over the limit");
  return std::stoull(First);
}

HttpResult<BodyFraming> framing(const FramingFields &Fields) {
  if (!Fields.TransferEncoding.empty()) {
    if (!Fields.ContentLength.empty())
      return refuse(400, "Content-Length stands beside Transfer-Encoding");
    if (Fields.Http10)
      return refuse(400, "Transfer-Encoding stands in an HTTP/1.0 message");
    const auto Codings = splitList(Fields.TransferEncoding);
    if (Codings.size() != 1 || Codings.front() != "chunked")
      return refuse(501, "Transfer-Encoding is not \"chunked\"");
    return ChunkedBody{};
  }
  if (Fields.ContentLength.empty())
    return NoBody{};
  const auto Length = parseLength(Fields.ContentLength);
  if (!Length)
    return tl::unexpected<HttpRefusal>(Length.error());
  return FixedBody{*Length};
}

bool neverHasBody(const std::string &Method, int Status) {
  return Method == "HEAD" || Status == 204 || Status == 304 || Status < 200;
}

} // namespace

HttpResult<BodyFraming> requestFraming(const FramingFields &Fields) {
  auto Framing = framing(Fields);
  if (!Framing)
    return Framing;
  const auto *Fixed = std::get_if<FixedBody>(&*Framing);
  if (Fixed != nullptr && Fixed->Length > config::MaxBodyBytes)
    return refuse(413, "the body is longer than 64 MiB");
  return Framing;
}

HttpResult<BodyFraming> responseFraming(const FramingFields &Fields,
                                        const std::string &Method, int Status) {
  auto Framing = framing(Fields);
  if (!Framing)
    return refuse(502, Framing.error().Reason);
  if (neverHasBody(Method, Status))
    return NoBody{};
  if (std::holds_alternative<NoBody>(*Framing))
    return refuse(502, "the answer has neither Content-Length nor chunks, so "
                       "its end can't be told from a cut");
  return Framing;
}

} // namespace siskinstage
