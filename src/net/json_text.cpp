#include "net/json_text.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace siskinstage {

std::string compactJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Value);
}

Result<Json::Value> parseJson(const std::string &Text,
                              const std::string &Peer) {
  const std::unique_ptr<Json::CharReader> Reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value Root;
  std::string Faults;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Root, &Faults))
      return Root;
  } catch (const Json::Exception &Fault) {
    Faults = Fault.what();
  }
  return fail(Step::ReadResponse, Peer, "invalid JSON: " + Faults);
}

} // namespace siskinstage
