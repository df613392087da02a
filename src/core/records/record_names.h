#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_NAMES_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_NAMES_H

#include "core/records/field_reader.h"

#include <string>

namespace siskinstage {

/// Reads a name: letters, digits, '-', '_' and '.'.
std::string readName(FieldReader &Fields, const std::string &Field);

/// Reads a name that another system has given, and that only has to be told
/// apart from others.
std::string readForeignName(FieldReader &Fields, const std::string &Field);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_NAMES_H
