#ifndef SISKINSTAGE_CORE_RECORDS_FIELD_READER_H
#define SISKINSTAGE_CORE_RECORDS_FIELD_READER_H

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinstage {

/// A field of a record that failed validation.
struct FieldFault {
  std::string Path;    ///< As "targets[0].address".
  std::string Found;   ///< The value, shortened.
  std::string Allowed; ///< Description of the allowed values.
  /// Path, found and allowed values in one line.
  [[nodiscard]] std::string text() const;
};

/// Reads and validates the fields of one JSON object. Tracks which fields were
/// read and collects all faults. A missing optional field has its default
/// value. After a fault, a function returns the default, the minimum or an
/// empty value. Bounds are inclusive.
class FieldReader {
public:
  /// \param Object the JSON object; must outlive the reader.
  /// \param Path   prefix for the paths of faults, empty at the top level.
  /// \param Faults receives one entry for each fault.
  FieldReader(const Json::Value &Object, std::string Path,
              std::vector<FieldFault> &Faults);

  [[nodiscard]] bool has(const std::string &Field) const;
  /// The value of \p Field, not validated; null if it is missing.
  const Json::Value &value(const std::string &Field);
  /// A non-empty string.
  std::string requiredText(const std::string &Field);
  std::string text(const std::string &Field, const std::string &Default);
  std::uint64_t number(const std::string &Field, std::uint64_t Default,
                       std::uint64_t Min, std::uint64_t Max);
  std::uint64_t requiredNumber(const std::string &Field, std::uint64_t Min,
                               std::uint64_t Max);
  double real(const std::string &Field, double Default, double Min, double Max);
  /// A boolean; nothing if it is missing.
  std::optional<bool> flag(const std::string &Field);
  /// The strings of an array; empty if it is missing.
  std::vector<std::string> textList(const std::string &Field);
  /// The array at \p Field; null if it is missing or not an array.
  const Json::Value &list(const std::string &Field, bool Required);
  /// Index of the string at \p Field in \p Allowed, or \p Default if it is
  /// missing.
  std::size_t choice(const std::string &Field,
                     const std::vector<std::string> &Allowed,
                     std::size_t Default);
  /// Adds a fault of \p Field with its present value.
  void addFault(const std::string &Field, const std::string &Allowed);
  /// \p Field with the prefix of this object.
  [[nodiscard]] std::string pathOf(const std::string &Field) const;
  /// Paths of the fields that no function has read.
  [[nodiscard]] std::vector<std::string> unknownFields() const;

private:
  const Json::Value &Object;
  std::string Path;
  std::vector<FieldFault> &Faults;
  std::set<std::string> ReadFields;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_FIELD_READER_H
