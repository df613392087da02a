#include "core/records/record_names.h"
#include "siskinstage/record_limits.h"

#include <algorithm>
#include <cctype>

namespace siskinstage {

namespace {

bool isNameByte(char Byte) {
  return std::isalnum(static_cast<unsigned char>(Byte)) != 0 || Byte == '-' ||
         Byte == '_' || Byte == '.';
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= record_limits::MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), isNameByte);
}

} // namespace

std::string readName(FieldReader &Fields, const std::string &Field) {
  std::string Name = Fields.requiredText(Field);
  if (!Name.empty() && !isName(Name))
    Fields.addFault(Field, "up to 200 letters, digits, '-', '_' or '.'");
  return Name;
}

std::string readForeignName(FieldReader &Fields, const std::string &Field) {
  std::string Name = Fields.requiredText(Field);
  const bool HasControl =
      std::any_of(Name.begin(), Name.end(),
                  [](unsigned char Byte) { return std::iscntrl(Byte) != 0; });
  if (Name.size() > record_limits::MaxNameBytes || HasControl)
    Fields.addFault(Field, "up to 200 bytes without control characters");
  return Name;
}

} // namespace siskinstage
