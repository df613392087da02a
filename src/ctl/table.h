#ifndef SISKINSTAGE_CTL_TABLE_H
#define SISKINSTAGE_CTL_TABLE_H

#include <json/value.h>
#include <string>
#include <vector>

namespace siskinstage::ctl {

/// One column: its title, and the field of each row's JSON object.
struct Column {
  std::string Title;
  std::string Field;
};

/// \p Rows, an array of objects, as an aligned table.
std::string tableText(const std::vector<Column> &Columns,
                      const Json::Value &Rows);

/// A JSON value as one cell: text without quotes, booleans as yes and no.
std::string cellText(const Json::Value &Value);

/// Indented JSON with a line end.
std::string jsonText(const Json::Value &Value);

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_TABLE_H
