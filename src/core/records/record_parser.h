#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_PARSER_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_PARSER_H

#include "core/records/field_reader.h"
#include "siskinstage/error.h"
#include "siskinstage/record.h"

#include <json/value.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace siskinstage {

/// Result of readRecord.
struct RecordReading {
  std::string Label;              ///< "kind/name"; "?" for a part not readable.
  std::optional<Record> Accepted; ///< Set only if Faults is empty.
  std::vector<FieldFault> Faults;
  std::vector<std::string> Warnings; ///< One for each unknown field.
};

/// Validates one JSON value as a record of any supported schema and upgrades it
/// to the newest schema. All faults are collected.
/// \param Text the JSON text of \p Value if it is at hand: writing that of a
///             long record again takes half as long as parsing it.
RecordReading readRecord(const Json::Value &Value,
                         std::shared_ptr<const std::string> Text = nullptr);

/// Reads kind, name and revision of a record without validating the rest.
/// \returns nothing if one of them is malformed.
std::optional<std::pair<RecordKey, Revision>>
recordIdentity(const Json::Value &Value);

/// The record that marks \p Key as deleted as of \p Rev.
Record makeTombstone(const RecordKey &Key, Revision Rev);

/// Parses \p Text, a JSON record or an array of records.
/// \param Source peer of the returned error.
/// \returns the JSON values without validation, or an error with line and
/// column.
Result<std::vector<Json::Value>> parseRecords(const std::string &Text,
                                              const std::string &Source);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_PARSER_H
