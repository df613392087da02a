#include "core/field_reader.h"

#include <algorithm>
#include <json/writer.h>
#include <utility>

namespace siskinstage {

namespace {

constexpr std::size_t MaxShownBytes = 80;

std::string shown(const Json::Value &Value) {
  if (Value.isNull())
    return "nothing";
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  std::string Text = Json::writeString(Writer, Value);
  if (Text.size() > MaxShownBytes)
    Text = Text.substr(0, MaxShownBytes) + "...";
  return Text;
}

std::string joined(const std::vector<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "\"" : ", \"") + Word + "\"";
  return Text;
}

} // namespace

std::string FieldFault::text() const {
  return "field " + this->Path + ": found " + this->Found + ", allowed is " +
         this->Allowed;
}

FieldReader::FieldReader(const Json::Value &Object, std::string Path,
                         std::vector<FieldFault> &Faults)
    : Object(Object), Path(std::move(Path)), Faults(Faults) {}

bool FieldReader::has(const std::string &Field) const {
  return this->Object.isMember(Field);
}

std::string FieldReader::pathOf(const std::string &Field) const {
  return this->Path.empty() ? Field : this->Path + "." + Field;
}

const Json::Value &FieldReader::at(const std::string &Field) {
  this->Read.insert(Field);
  return this->Object[Field];
}

void FieldReader::fault(const std::string &Field, const std::string &Allowed) {
  this->Faults.push_back(
      {this->pathOf(Field), shown(this->Object[Field]), Allowed});
}

std::string FieldReader::requiredText(const std::string &Field) {
  const Json::Value &Value = this->at(Field);
  if (Value.isString() && !Value.asString().empty())
    return Value.asString();
  this->fault(Field, "a non-empty string");
  return {};
}

std::string FieldReader::text(const std::string &Field,
                              const std::string &Default) {
  const Json::Value &Value = this->at(Field);
  if (Value.isNull())
    return Default;
  if (Value.isString())
    return Value.asString();
  this->fault(Field, "a string");
  return Default;
}

std::uint64_t FieldReader::number(const std::string &Field,
                                  std::uint64_t Default, std::uint64_t Least,
                                  std::uint64_t Most) {
  if (!this->has(Field)) {
    this->Read.insert(Field);
    return Default;
  }
  return this->requiredNumber(Field, Least, Most);
}

std::uint64_t FieldReader::requiredNumber(const std::string &Field,
                                          std::uint64_t Least,
                                          std::uint64_t Most) {
  const Json::Value &Value = this->at(Field);
  if (Value.isUInt64() && Value.asUInt64() >= Least && Value.asUInt64() <= Most)
    return Value.asUInt64();
  this->fault(Field, "a whole number from " + std::to_string(Least) + " to " +
                         std::to_string(Most));
  return Least;
}

double FieldReader::fraction(const std::string &Field, double Default,
                             double Least, double Most) {
  const Json::Value &Value = this->at(Field);
  if (Value.isNull() && !this->has(Field))
    return Default;
  if (Value.isNumeric() && Value.asDouble() >= Least &&
      Value.asDouble() <= Most)
    return Value.asDouble();
  this->fault(Field, "a number from " + shown(Json::Value(Least)) + " to " +
                         shown(Json::Value(Most)));
  return Default;
}

std::optional<bool> FieldReader::flag(const std::string &Field) {
  const Json::Value &Value = this->at(Field);
  if (Value.isBool())
    return Value.asBool();
  if (this->has(Field))
    this->fault(Field, "true or false");
  return std::nullopt;
}

const Json::Value &FieldReader::list(const std::string &Field, bool Required) {
  const Json::Value &Value = this->at(Field);
  const bool Missing = !this->has(Field);
  if (Value.isArray() || (Missing && !Required))
    return Value;
  this->fault(Field, "an array");
  return Json::Value::nullSingleton();
}

std::vector<std::string> FieldReader::textList(const std::string &Field) {
  std::vector<std::string> Texts;
  const Json::Value &Values = this->list(Field, false);
  for (Json::ArrayIndex I = 0; I < Values.size(); ++I) {
    if (Values[I].isString() && !Values[I].asString().empty()) {
      Texts.push_back(Values[I].asString());
      continue;
    }
    this->Faults.push_back({this->pathOf(Field) + "[" + std::to_string(I) + "]",
                            shown(Values[I]), "a non-empty string"});
  }
  return Texts;
}

std::size_t FieldReader::choice(const std::string &Field,
                                const std::vector<std::string> &Allowed,
                                std::size_t Default) {
  const Json::Value &Value = this->at(Field);
  if (!this->has(Field))
    return Default;
  const std::string Text = Value.isString() ? Value.asString() : "";
  const auto Found = std::find(Allowed.begin(), Allowed.end(), Text);
  if (Found != Allowed.end())
    return static_cast<std::size_t>(Found - Allowed.begin());
  this->fault(Field, "one of " + joined(Allowed));
  return Default;
}

std::vector<std::string> FieldReader::unknownFields() const {
  std::vector<std::string> Unknown;
  for (const std::string &Field : this->Object.getMemberNames())
    if (this->Read.count(Field) == 0)
      Unknown.push_back(this->pathOf(Field));
  return Unknown;
}

} // namespace siskinstage
