#ifndef SISKINSTAGE_CORE_RECORD_PARSER_H
#define SISKINSTAGE_CORE_RECORD_PARSER_H

#include "core/field_reader.h"
#include "siskinstage/error.h"
#include "siskinstage/record.h"

#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace siskinstage {

/// What reading one record gave.
struct RecordReading {
  std::string Label;              ///< "kind/name" as far as they could be read.
  std::optional<Record> Accepted; ///< Set only if Faults is empty.
  std::vector<FieldFault> Faults;
  std::vector<std::string> Warnings; ///< Unknown fields.
};

/// Validates one JSON value as a record of any known schema and upgrades it to
/// the newest.
RecordReading readRecord(const Json::Value &Value);

/// Parses \p Text as JSON: one record, or an array of records.
/// \param Source shown as the peer of an error.
/// \returns the JSON values, or an error naming line and column.
Result<std::vector<Json::Value>> parseRecords(const std::string &Text,
                                              const std::string &Source);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORD_PARSER_H
