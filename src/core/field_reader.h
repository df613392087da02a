#ifndef SISKINSTAGE_CORE_FIELD_READER_H
#define SISKINSTAGE_CORE_FIELD_READER_H

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinstage {

/// One fault of a record: which field, what stood there, what is allowed.
struct FieldFault {
  std::string Path;
  std::string Found;
  std::string Allowed;
  [[nodiscard]] std::string text() const;
};

/// Reads the fields of one JSON object, remembers which were read, and gathers
/// every fault with the path of its field.
class FieldReader {
public:
  /// \param Object the JSON object; must outlive the reader.
  /// \param Path   prefix for the paths of faults, empty at the top.
  /// \param Faults receives one entry for each fault.
  FieldReader(const Json::Value &Object, std::string Path,
              std::vector<FieldFault> &Faults);

  [[nodiscard]] bool has(const std::string &Field) const;
  std::string requiredText(const std::string &Field);
  std::string text(const std::string &Field, const std::string &Default);
  std::uint64_t number(const std::string &Field, std::uint64_t Default,
                       std::uint64_t Least, std::uint64_t Most);
  std::uint64_t requiredNumber(const std::string &Field, std::uint64_t Least,
                               std::uint64_t Most);
  double fraction(const std::string &Field, double Default, double Least,
                  double Most);
  std::optional<bool> flag(const std::string &Field);
  std::vector<std::string> textList(const std::string &Field);
  /// The array at \p Field; null if it is missing or no array.
  const Json::Value &list(const std::string &Field, bool Required);
  /// Index of the field's text in \p Allowed, or \p Default if it is missing.
  std::size_t choice(const std::string &Field,
                     const std::vector<std::string> &Allowed,
                     std::size_t Default);
  void fault(const std::string &Field, const std::string &Allowed);
  [[nodiscard]] std::string pathOf(const std::string &Field) const;
  /// Paths of the fields that no call asked for.
  [[nodiscard]] std::vector<std::string> unknownFields() const;

private:
  const Json::Value &Object;
  std::string Path;
  std::vector<FieldFault> &Faults;
  std::set<std::string> Read;

  const Json::Value &at(const std::string &Field);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FIELD_READER_H
