#include "core/records/field_reader.h"

#include <algorithm>
#include <json/writer.h>
#include <utility>

namespace siskinstage {

namespace {

constexpr std::size_t MaxShownBytes = 80;

std::string displayText(const Json::Value &Value) {
  if (Value.isNull())
    return "nothing";
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  std::string Text = Json::writeString(Writer, Value);
  if (Text.size() > MaxShownBytes)
    Text = Text.substr(0, MaxShownBytes) + "...";
  return Text;
}

std::string quotedList(const std::vector<std::string> &Items) {
  std::string Text;
  for (const std::string &Item : Items)
    Text += (Text.empty() ? "\"" : ", \"") + Item + "\"";
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

const Json::Value &FieldReader::value(const std::string &Field) {
  this->ReadFields.insert(Field);
  return this->Object[Field];
}

void FieldReader::addFault(const std::string &Field,
                           const std::string &Allowed) {
  this->Faults.push_back(
      {this->pathOf(Field), displayText(this->Object[Field]), Allowed});
}

std::string FieldReader::requiredText(const std::string &Field) {
  const Json::Value &Value = this->value(Field);
  if (Value.isString() && !Value.asString().empty())
    return Value.asString();
  this->addFault(Field, "a non-empty string");
  return {};
}

std::string FieldReader::text(const std::string &Field,
                              const std::string &Default) {
  const Json::Value &Value = this->value(Field);
  if (Value.isNull())
    return Default;
  if (Value.isString())
    return Value.asString();
  this->addFault(Field, "a string");
  return Default;
}

std::uint64_t FieldReader::number(const std::string &Field,
                                  std::uint64_t Default, std::uint64_t Min,
                                  std::uint64_t Max) {
  if (!this->has(Field)) {
    this->ReadFields.insert(Field);
    return Default;
  }
  return this->requiredNumber(Field, Min, Max);
}

std::uint64_t FieldReader::requiredNumber(const std::string &Field,
                                          std::uint64_t Min,
                                          std::uint64_t Max) {
  const Json::Value &Value = this->value(Field);
  if (Value.isUInt64() && Value.asUInt64() >= Min && Value.asUInt64() <= Max)
    return Value.asUInt64();
  this->addFault(Field, "a whole number from " + std::to_string(Min) + " to " +
                            std::to_string(Max));
  return Min;
}

double FieldReader::real(const std::string &Field, double Default, double Min,
                         double Max) {
  const Json::Value &Value = this->value(Field);
  if (Value.isNull() && !this->has(Field))
    return Default;
  if (Value.isNumeric() && Value.asDouble() >= Min && Value.asDouble() <= Max)
    return Value.asDouble();
  this->addFault(Field, "a number from " + displayText(Json::Value(Min)) +
                            " to " + displayText(Json::Value(Max)));
  return Default;
}

std::optional<bool> FieldReader::flag(const std::string &Field) {
  const Json::Value &Value = this->value(Field);
  if (Value.isBool())
    return Value.asBool();
  if (this->has(Field))
    this->addFault(Field, "true or false");
  return std::nullopt;
}

const Json::Value &FieldReader::list(const std::string &Field, bool Required) {
  const Json::Value &Value = this->value(Field);
  const bool Missing = !this->has(Field);
  if (Value.isArray() || (Missing && !Required))
    return Value;
  this->addFault(Field, "an array");
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
                            displayText(Values[I]), "a non-empty string"});
  }
  return Texts;
}

std::size_t FieldReader::choice(const std::string &Field,
                                const std::vector<std::string> &Allowed,
                                std::size_t Default) {
  const Json::Value &Value = this->value(Field);
  if (!this->has(Field))
    return Default;
  const std::string Text = Value.isString() ? Value.asString() : "";
  const auto Found = std::find(Allowed.begin(), Allowed.end(), Text);
  if (Found != Allowed.end())
    return static_cast<std::size_t>(Found - Allowed.begin());
  this->addFault(Field, "one of " + quotedList(Allowed));
  return Default;
}

std::vector<std::string> FieldReader::unknownFields() const {
  std::vector<std::string> Unknown;
  for (const std::string &Field : this->Object.getMemberNames())
    if (this->ReadFields.count(Field) == 0)
      Unknown.push_back(this->pathOf(Field));
  return Unknown;
}

} // namespace siskinstage
