#include "node/node_context.h"
#include "node/snapshot.h"
#include "siskinstage/config.h"

#include <array>
#include <cstdio>
#include <utility>

namespace siskinstage {

NodeContext::NodeContext(const Settings &Values, const AddressParts &Own,
                         Incarnation Process,
                         std::shared_ptr<const Snapshot> First)
    : NodeSettings(Values), Snapshots(std::move(First)), Keys(Own, Process),
      Quotas(Values.FleetAddress, Process),
      Observations(config::ObservationRingSize),
      Updates(config::UpdateRingSize), GossipCommands(config::UpdateRingSize),
      SyncTasks(config::UpdateRingSize),
      Members(std::make_shared<const MembershipView>()) {}

bool NodeContext::ready() const {
  return !this->Drain.active() && this->Snapshots.get()->Configured;
}

RequestId NodeContext::newRequestId() {
  std::array<char, 48> Text{};
  const auto Number =
      static_cast<unsigned long long>(this->NextRequest.fetch_add(1));
  const auto Process =
      static_cast<unsigned long long>(this->Keys.process().Value);
  const int Length =
      std::snprintf(Text.data(), Text.size(), "%016llx-%llx", Process, Number);
  return RequestId(std::string(Text.data(), static_cast<std::size_t>(Length)));
}

void NodeContext::postObservation(Observation Sample) {
  this->Observations.push(std::move(Sample));
  this->DecisionWakeup.notify();
}

bool NodeContext::tryPostUpdate(ConfigUpdate Update) {
  std::vector<std::pair<RecordKey, Revision>> Passed;
  if (const auto *Batch = std::get_if<RecordBatch>(&Update))
    for (const Record &New : Batch->Records)
      Passed.emplace_back(New.Key, New.Rev);
  const bool Accepted = this->Updates.push(std::move(Update));
  if (Accepted)
    for (const auto &[Key, Rev] : Passed)
      this->Records.expect(Key, Rev);
  this->DecisionWakeup.notify();
  return Accepted;
}

void NodeContext::postCommand(GossipCommand Command) {
  this->tryPostCommand(std::move(Command));
}

bool NodeContext::tryPostCommand(GossipCommand Command) {
  const bool Posted = this->GossipCommands.push(std::move(Command));
  this->GossipWakeup.notify();
  return Posted;
}

void NodeContext::postSyncTask(SyncTask Task) {
  this->SyncTasks.push(std::move(Task));
  this->SyncWakeup.notify();
}

} // namespace siskinstage
