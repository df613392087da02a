#include "core/instance_list.h"
#include "core/address.h"
#include "core/field_reader.h"

namespace siskinstage {

namespace {

const std::vector<std::string> RoleNames = {"node", "target"};
const std::vector<std::string> StateNames = {"live", "leaving"};

Instance readInstance(const Json::Value &Value, const std::string &Path,
                      std::vector<FieldFault> &Faults) {
  FieldReader Fields(Value, Path, Faults);
  Instance Read;
  Read.Endpoint = Address(Fields.requiredText("address"));
  if (!Read.Endpoint.empty() && !parseAddress(Read.Endpoint.str()))
    Fields.fault("address", "an IPv4 address and port");
  Read.Id = Fields.text("id", Read.Endpoint.str());
  Read.Domain = FailureDomain(Fields.text("domain", ""));
  Read.InstanceRole =
      static_cast<Instance::Role>(Fields.choice("role", RoleNames, 0));
  Read.InstanceState =
      static_cast<Instance::State>(Fields.choice("state", StateNames, 0));
  return Read;
}

} // namespace

Result<std::vector<Instance>>
readInstanceList(const Json::Value &Answer,
                 std::vector<std::string> &Warnings) {
  if (!Answer.isObject() || !Answer["instances"].isArray())
    return fail(Step::Platform, "instances",
                "the answer holds no array \"instances\"");
  std::vector<Instance> Instances;
  const Json::Value &List = Answer["instances"];
  for (Json::ArrayIndex I = 0; I < List.size(); ++I) {
    const std::string Path = "instances[" + std::to_string(I) + "]";
    std::vector<FieldFault> Faults;
    if (!List[I].isObject()) {
      Warnings.push_back(Path + " is no object");
      continue;
    }
    Instance Read = readInstance(List[I], Path, Faults);
    for (const FieldFault &Fault : Faults)
      Warnings.push_back(Fault.text());
    if (Faults.empty())
      Instances.push_back(std::move(Read));
  }
  return Instances;
}

} // namespace siskinstage
