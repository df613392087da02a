#include "node/peer_sync.h"
#include "core/gossip_codec.h"
#include "node/node_context.h"
#include "node/peer_api.h"
#include "node/record_import.h"
#include "siskinstage/config.h"

#include <Poco/URI.h>

namespace siskinstage {

void PeerSync::run() {
  while (!this->Context.Stop.stopped()) {
    const auto Task = this->Context.SyncTasks.pop();
    if (!Task) {
      this->Context.SyncWakeup.wait(config::DecisionRest);
      continue;
    }
    this->tryTask(*Task);
  }
}

void PeerSync::tryTask(const SyncTask &Task) {
  const auto Done = this->runTask(Task);
  if (!Done)
    logError(LogLevel::Info, "a peer could not be read", Done.error());
}

Result<void> PeerSync::runTask(const SyncTask &Task) {
  switch (Task.TaskKind) {
  case SyncTask::Kind::Records:
    return this->readRecords(Task);
  case SyncTask::Kind::OneRecord:
    return this->readOneRecord(Task);
  case SyncTask::Kind::Members:
    return this->readMembers(Task);
  }
  return {};
}

Result<void> PeerSync::readRecords(const SyncTask &Task) {
  const std::string Start = PeerPathPrefix;
  const auto Theirs = queryPeer(this->Context, Task.Peer, Start + "digests");
  if (!Theirs)
    return tl::unexpected<Error>(Theirs.error());
  const auto Own = this->Context.Records.bucketDigests();
  if (!Theirs->isArray() || Theirs->size() != Own.size())
    return fail(Step::Forward, Task.Peer.str(), "the digests are malformed");
  for (Json::ArrayIndex I = 0; I < Theirs->size(); ++I) {
    if (!(*Theirs)[I].isUInt64() || (*Theirs)[I].asUInt64() == Own[I])
      continue;
    while (const auto Announced = this->Context.SyncTasks.popAnnounced())
      this->tryTask(*Announced);
    const auto Read =
        this->readTexts(Task, Start + "bucket?n=" + std::to_string(I));
    if (!Read)
      return Read;
  }
  RecordBatch Compared;
  Compared.ComparedDomain = Task.Domain;
  postUpdate(this->Context, Compared);
  return {};
}

Result<void> PeerSync::readOneRecord(const SyncTask &Task) {
  Poco::URI Uri(std::string(PeerPathPrefix) + "record");
  Uri.addQueryParameter("kind", recordKindName(Task.Key.Kind));
  Uri.addQueryParameter("name", Task.Key.Name);
  return this->readTexts(Task, Uri.getPathAndQuery());
}

Result<void> PeerSync::readTexts(const SyncTask &Task,
                                 const std::string &Target) {
  const Address &Peer = Task.Peer;
  const auto Texts = queryPeer(this->Context, Peer, Target);
  if (!Texts)
    return tl::unexpected<Error>(Texts.error());
  RecordBatch Batch;
  Batch.SourceDomain = Task.Domain;
  for (const Json::Value &Text : *Texts)
    if (Text.isString())
      importRecordText(this->Context, Text.asString(), Peer, Batch);
  postUpdate(this->Context, Batch);
  return {};
}

Result<void> PeerSync::readMembers(const SyncTask &Task) {
  const auto List = queryPeer(this->Context, Task.Peer,
                              std::string(PeerPathPrefix) + "members");
  if (!List)
    return tl::unexpected<Error>(List.error());
  std::vector<Member> Members;
  for (const Json::Value &Value : *List) {
    auto Read = decodeMember(Value);
    if (Read)
      Members.push_back(std::move(*Read));
  }
  this->Context.postCommand(Members);
  return {};
}

} // namespace siskinstage
