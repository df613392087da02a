#include "core/callers/http_guard.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <vector>

namespace siskinstage {

namespace {

constexpr std::size_t MaxTargetBytes = 8 * 1024;
constexpr std::size_t MaxMethodBytes = 32;
constexpr std::size_t MaxFieldNameBytes = 255;
constexpr std::size_t MaxFieldValueBytes = 8 * 1024 - 1;
constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr unsigned char AsciiDelete = 0x7f;

bool isBlank(char Byte) { return Byte == ' ' || Byte == '\t'; }

bool isTokenByte(char Byte) {
  return std::isalnum(static_cast<unsigned char>(Byte)) != 0 ||
         TokenPunctuation.find(Byte) != std::string_view::npos;
}

bool isControl(char Byte) {
  const auto Code = static_cast<unsigned char>(Byte);
  return (Code < ' ' && Byte != '\t') || Code == AsciiDelete;
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && isBlank(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isBlank(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

/// Splits a head into its non-empty lines, without the line ends.
std::vector<std::string_view> splitLines(std::string_view Raw) {
  std::vector<std::string_view> Lines;
  while (!Raw.empty()) {
    const std::size_t End = Raw.find('\n');
    std::string_view Line = Raw.substr(0, End);
    Raw.remove_prefix(End == std::string_view::npos ? Raw.size() : End + 1);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (!Line.empty())
      Lines.push_back(Line);
  }
  return Lines;
}

bool isVersion(std::string_view Text) {
  return Text == "HTTP/1.1" || Text == "HTTP/1.0";
}

HttpResult<std::string> checkedRequestLine(std::string_view Line) {
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last)
    return refuse(400, "the request line is not \"METHOD target HTTP/1.1\"");
  const std::string_view Method = Line.substr(0, First);
  const std::string_view Target = Line.substr(First + 1, Last - First - 1);
  const std::string_view Version = Line.substr(Last + 1);
  if (!isToken(Method) || Method.size() > MaxMethodBytes)
    return refuse(400, "the method is no token of up to 32 characters");
  if (Target.size() > MaxTargetBytes)
    return refuse(414, "the request target is longer than 8192 bytes");
  if (Target.empty() || Target.find(' ') != std::string_view::npos)
    return refuse(400, "the request target is empty or holds a space");
  if (!isVersion(Version))
    return refuse(Version.substr(0, 5) == "HTTP/" ? 505 : 400,
                  "the version is neither HTTP/1.1 nor HTTP/1.0");
  return std::string(Line);
}

HttpResult<std::string> checkedStatusLine(std::string_view Line) {
  constexpr std::size_t VersionBytes = 8;
  constexpr std::size_t CodeEnd = VersionBytes + 4;
  if (Line.size() < CodeEnd || !isVersion(Line.substr(0, VersionBytes)) ||
      Line[VersionBytes] != ' ')
    return refuse(502, "the status line is not \"HTTP/1.1 code reason\"");
  const std::string_view Code = Line.substr(VersionBytes + 1, 3);
  const bool AllDigits = std::all_of(Code.begin(), Code.end(), [](char Byte) {
    return std::isdigit(static_cast<unsigned char>(Byte)) != 0;
  });
  if (!AllDigits || (Line.size() > CodeEnd && Line[CodeEnd] != ' '))
    return refuse(502, "the status code is not three digits");
  if (Code.front() < '1' || Code.front() > '5')
    return refuse(502, "the status code is not from 100 to 599");
  return std::string(Line);
}

HttpResult<std::string> checkedField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return refuse(400, "a header line has no colon");
  const std::string_view Name = Line.substr(0, Colon);
  const std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (!isToken(Name))
    return refuse(400, "a header name is empty or holds a character other "
                       "than those of a token");
  if (Name.size() > MaxFieldNameBytes || Value.size() > MaxFieldValueBytes)
    return refuse(431, "header " + std::string(Name.substr(0, 64)) +
                           " is longer than 8191 bytes");
  return std::string(Name) + ": " + std::string(Value);
}

/// Returns the field lines, with folded lines joined to the field that they
/// continue.
HttpResult<std::vector<std::string>>
unfold(const std::vector<std::string_view> &Lines) {
  std::vector<std::string> Fields;
  for (std::size_t I = 1; I < Lines.size(); ++I) {
    if (!isBlank(Lines[I].front())) {
      Fields.emplace_back(Lines[I]);
      continue;
    }
    if (Fields.empty())
      return refuse(400, "a space stands before the first header");
    Fields.back() += " " + std::string(trimmed(Lines[I]));
  }
  return Fields;
}

/// Decodes percent-encoded dots only, which suffices to find dot segments.
std::string decodeDots(std::string_view Path) {
  std::string Text;
  for (std::size_t I = 0; I < Path.size(); ++I) {
    const bool Dot = Path.substr(I, 3) == "%2e" || Path.substr(I, 3) == "%2E";
    Text += Dot ? '.' : Path[I];
    I += Dot ? 2 : 0;
  }
  return Text;
}

bool hasDotSegment(std::string_view Path) {
  const std::string Text = decodeDots(Path) + "/";
  return Text.find("/./") != std::string::npos ||
         Text.find("/../") != std::string::npos;
}

} // namespace

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

std::size_t headLength(std::string_view Bytes) {
  std::size_t Position = Bytes.find('\n');
  while (Position != std::string_view::npos) {
    const std::string_view Next = Bytes.substr(Position + 1);
    if (Next.substr(0, 1) == "\n")
      return Position + 2;
    if (Next.substr(0, 2) == "\r\n")
      return Position + 3;
    Position = Bytes.find('\n', Position + 1);
  }
  return 0;
}

HttpResult<std::string> normalizeHead(std::string_view Raw, HeadKind Kind) {
  const std::vector<std::string_view> Lines = splitLines(Raw);
  if (Lines.empty())
    return refuse(400, "the message has no first line");
  for (const std::string_view Line : Lines)
    if (std::any_of(Line.begin(), Line.end(), isControl))
      return refuse(400, "the head holds a control character");

  const auto First = Kind == HeadKind::Request ? checkedRequestLine(Lines[0])
                                               : checkedStatusLine(Lines[0]);
  if (!First)
    return tl::unexpected<HttpRefusal>(First.error());
  const auto Fields = unfold(Lines);
  if (!Fields)
    return tl::unexpected<HttpRefusal>(Fields.error());
  if (Fields->size() > config::MaxHeaderCount)
    return refuse(431, "the message has more than 100 headers");

  std::string Text = *First + "\r\n";
  for (const std::string &Field : *Fields) {
    const auto Checked = checkedField(Field);
    if (!Checked)
      return tl::unexpected<HttpRefusal>(Checked.error());
    Text += *Checked + "\r\n";
  }
  return Text + "\r\n";
}

HttpResult<std::string> checkedPath(std::string_view Target) {
  const std::string_view Path = Target.substr(0, Target.find('?'));
  if (Path.empty() || Path.front() != '/')
    return refuse(400, "the request target does not start with \"/\"");
  if (Target.find('#') != std::string_view::npos)
    return refuse(400, "the request target holds a fragment");
  if (Path.find('\\') != std::string_view::npos)
    return refuse(400, "the path holds a backslash");
  if (hasDotSegment(Path))
    return refuse(400, "the path holds a \".\" or \"..\" segment");
  return std::string(Path);
}

} // namespace siskinstage
