#include "ctl/table.h"

#include <algorithm>
#include <json/writer.h>

namespace siskinstage::ctl {

namespace {

using Row = std::vector<std::string>;

void appendRow(std::string &Text, const Row &Cells,
               const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t I = 0; I < Cells.size(); ++I) {
    Line += Cells[I];
    Line.append(Widths[I] - Cells[I].size() + 2, ' ');
  }
  Line.erase(Line.find_last_not_of(' ') + 1);
  Text += Line + "\n";
}

} // namespace

std::string cellText(const Json::Value &Value) {
  if (Value.isNull())
    return "-";
  if (Value.isBool())
    return Value.asBool() ? "yes" : "no";
  if (Value.isString())
    return Value.asString().empty() ? "-" : Value.asString();
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  Writer["precision"] = 4;
  return Json::writeString(Writer, Value);
}

std::string tableText(const std::vector<Column> &Columns,
                      const Json::Value &Rows) {
  std::vector<Row> Lines(1);
  for (const Column &Col : Columns)
    Lines.front().push_back(Col.Title);
  for (const Json::Value &Object : Rows) {
    Row Cells;
    for (const Column &Col : Columns)
      Cells.push_back(cellText(Object[Col.Field]));
    Lines.push_back(std::move(Cells));
  }
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const Row &Cells : Lines)
    for (std::size_t I = 0; I < Cells.size(); ++I)
      Widths[I] = std::max(Widths[I], Cells[I].size());
  std::string Text;
  for (const Row &Cells : Lines)
    appendRow(Text, Cells, Widths);
  return Text;
}

std::string jsonText(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "  ";
  return Json::writeString(Writer, Value) + "\n";
}

} // namespace siskinstage::ctl
