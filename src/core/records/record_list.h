#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_LIST_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_LIST_H

#include "siskinstage/record.h"

#include <set>
#include <string>

namespace siskinstage {

/// All records of one kind that the platform had at one revision.
struct RecordList {
  RecordKind Kind = RecordKind::Target;
  /// Position in the platform's history; a record that is missing and older was
  /// deleted.
  Revision AsOf;
  std::set<std::string> Names;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_LIST_H
