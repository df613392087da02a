#ifndef SISKINSTAGE_CTL_TABLE_H
#define SISKINSTAGE_CTL_TABLE_H

#include <json/value.h>
#include <string>
#include <vector>

namespace siskinstage::ctl {

/// Column of a table: its title, and the field of the rows' JSON objects that
/// it shows.
struct Column {
  std::string Title;
  std::string Field;
};

/// Formats \p Rows, an array of objects, as an aligned table with a title line.
std::string tableText(const std::vector<Column> &Columns,
                      const Json::Value &Rows);

/// Formats a JSON value as a table cell: strings without quotes, booleans as
/// yes or no, null and empty strings as "-".
std::string cellText(const Json::Value &Value);

/// Formats \p Value as indented JSON that ends with a line feed.
std::string jsonText(const Json::Value &Value);

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_TABLE_H
