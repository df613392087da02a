#include "core/records/revision_codec.h"

namespace siskinstage {

namespace {

Json::Value number(std::uint64_t Value) {
  return Json::Value(static_cast<Json::UInt64>(Value));
}

/// [process, count], with a third element "true" if the record was deleted.
Json::Value encodeWriter(const WriterVersion &Writer) {
  Json::Value List(Json::arrayValue);
  List.append(number(Writer.Process));
  List.append(number(Writer.Count));
  if (Writer.Deleted)
    List.append(true);
  return List;
}

std::optional<WriterVersion> decodeWriter(const Json::Value &List) {
  const bool WellFormed = List.isArray() &&
                          (List.size() == 2 || List.size() == 3) &&
                          List[0].isUInt64() && List[1].isUInt64() &&
                          (List.size() == 2 || List[2].isBool());
  if (!WellFormed)
    return std::nullopt;
  return WriterVersion{List[0].asUInt64(), List[1].asUInt64(),
                       List.size() == 3 && List[2].asBool()};
}

} // namespace

std::string epochField(const std::string &Field) { return Field + "_epoch"; }

std::string writerField(const std::string &Field) { return Field + "_writer"; }

void writeRevision(const Revision &Rev, const std::string &Field,
                   Json::Value &Object) {
  Object[Field] = number(Rev.Value);
  if (Rev.Epoch.Value > 0)
    Object[epochField(Field)] = number(Rev.Epoch.Value);
  if (Rev.Writer.isStated())
    Object[writerField(Field)] = encodeWriter(Rev.Writer);
}

std::optional<Revision> readRevision(const Json::Value &Object,
                                     const std::string &Field) {
  if (!Object[Field].isUInt64())
    return std::nullopt;
  Revision Rev = {Object[Field].asUInt64()};
  if (Object.isMember(epochField(Field))) {
    const Json::Value &Epoch = Object[epochField(Field)];
    if (!Epoch.isUInt64() || Epoch.asUInt64() > MaxHistoryEpoch)
      return std::nullopt;
    Rev.Epoch.Value = Epoch.asUInt64();
  }
  if (Object.isMember(writerField(Field))) {
    const auto Writer = decodeWriter(Object[writerField(Field)]);
    if (!Writer)
      return std::nullopt;
    Rev.Writer = *Writer;
  }
  return Rev;
}

} // namespace siskinstage
