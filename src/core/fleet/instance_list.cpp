#include "core/fleet/instance_list.h"
#include "core/address.h"
#include "core/records/field_reader.h"

namespace siskinstage {

namespace {

const std::vector<std::string> RoleNames = {"node", "target"};
const std::vector<std::string> StateNames = {"live", "leaving"};

Instance readInstance(const Json::Value &Value, const std::string &Path,
                      std::vector<FieldFault> &Faults) {
  FieldReader Fields(Value, Path, Faults);
  Instance Parsed;
  Parsed.Endpoint = Address(Fields.requiredText("address"));
  if (!Parsed.Endpoint.empty() && !parseAddress(Parsed.Endpoint.str()))
    Fields.addFault("address", "an IPv4 address and port");
  Parsed.Id = Fields.text("id", Parsed.Endpoint.str());
  Parsed.Domain = FailureDomain(Fields.text("domain", ""));
  Parsed.InstanceRole =
      static_cast<Instance::Role>(Fields.choice("role", RoleNames, 0));
  Parsed.InstanceState =
      static_cast<Instance::State>(Fields.choice("state", StateNames, 0));
  return Parsed;
}

} // namespace

Result<std::vector<Instance>>
readInstanceList(const Json::Value &Response,
                 std::vector<std::string> &Warnings) {
  if (!Response.isObject() || !Response["instances"].isArray())
    return fail(Step::Platform, "instances",
                "response without an array \"instances\"");
  std::vector<Instance> Instances;
  const Json::Value &List = Response["instances"];
  for (Json::ArrayIndex I = 0; I < List.size(); ++I) {
    const std::string Path = "instances[" + std::to_string(I) + "]";
    std::vector<FieldFault> Faults;
    if (!List[I].isObject()) {
      Warnings.push_back(Path + " is not an object");
      continue;
    }
    Instance Parsed = readInstance(List[I], Path, Faults);
    for (const FieldFault &Fault : Faults)
      Warnings.push_back(Fault.text());
    if (Faults.empty())
      Instances.push_back(std::move(Parsed));
  }
  return Instances;
}

} // namespace siskinstage
