#include "node/records/peer_sync.h"
#include "core/fleet/gossip_codec.h"
#include "core/records/record_parser.h"
#include "net/boot_time.h"
#include "node/fleet/peer_api.h"
#include "node/node_context.h"
#include "node/records/record_import.h"
#include "siskinstage/config.h"

#include <Poco/URI.h>
#include <algorithm>

namespace siskinstage {

namespace {

/// Longest wait for the decision thread, before records are compared.
constexpr Millis MaxApplyWait{500};

std::string taskName(const SyncTask &Task) {
  switch (Task.TaskKind) {
  case SyncTask::Kind::Records:
    return "records that differ";
  case SyncTask::Kind::OneRecord:
    return "record " + Task.Key.text();
  case SyncTask::Kind::Members:
    return "members";
  }
  return "";
}

} // namespace

void PeerSync::run() {
  while (!this->Context.Stop.stopped()) {
    const auto Task = this->Context.SyncTasks.pop();
    if (!Task) {
      this->Context.SyncWakeup.wait(config::DecisionIdleInterval);
      continue;
    }
    this->tryTask(*Task);
  }
}

void PeerSync::tryTask(const SyncTask &Task) {
  const Instant Start = bootNow();
  const auto Finished = this->runTask(Task);
  const auto Took = std::chrono::duration_cast<Millis>(bootNow() - Start);
  std::vector<LogField> Fields = {{"peer", Task.Peer.str()},
                                  {"what", taskName(Task)},
                                  {"took_ms", std::to_string(Took.count())}};
  if (Finished) {
    if (Task.TaskKind != SyncTask::Kind::Members)
      logEvent(LogLevel::Info, "read from a peer", Fields);
    return;
  }
  Fields.push_back({"step", stepName(Finished.error().FailedStep)});
  Fields.push_back({"reason", Finished.error().Reason});
  logEvent(LogLevel::Info, "reading from a peer failed", Fields);
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

void PeerSync::awaitRecordsApplied() const {
  const Instant Limit = bootNow() + MaxApplyWait;
  while (!this->Context.Records.allApplied() && bootNow() < Limit)
    if (this->Context.Stop.sleep(config::DecisionBatchInterval))
      return;
}

bool PeerSync::isBucketNewer(const SyncTask &Task, unsigned Number) const {
  const auto Revisions = queryPeer(this->Context, Task.Peer,
                                   std::string(PeerPathPrefix) +
                                       "revisions?n=" + std::to_string(Number));
  // A node of an earlier version does not have the page.
  if (!Revisions || !Revisions->isArray())
    return true;
  return std::any_of(Revisions->begin(), Revisions->end(),
                     [this](const Json::Value &Entry) {
                       const auto Listed = recordIdentity(Entry);
                       return !Listed || this->Context.Records.expectedRevision(
                                             Listed->first) < Listed->second;
                     });
}

Result<void> PeerSync::readRecords(const SyncTask &Task) {
  this->awaitRecordsApplied();
  const std::string Prefix = PeerPathPrefix;
  const auto PeerDigests =
      queryPeer(this->Context, Task.Peer, Prefix + "digests");
  if (!PeerDigests)
    return tl::unexpected<Error>(PeerDigests.error());
  const auto OwnDigests = this->Context.Records.bucketDigests();
  if (!PeerDigests->isArray() || PeerDigests->size() != OwnDigests.size())
    return fail(Step::Forward, Task.Peer.str(), "malformed record digests");
  for (Json::ArrayIndex I = 0; I < PeerDigests->size(); ++I) {
    if (!(*PeerDigests)[I].isUInt64() ||
        (*PeerDigests)[I].asUInt64() == OwnDigests[I])
      continue;
    // Announced records take priority, see SyncQueue.
    while (const auto Announced = this->Context.SyncTasks.popAnnounced())
      this->tryTask(*Announced);
    if (!this->Context.Records.bucketRevisions(I).empty() &&
        !this->isBucketNewer(Task, I))
      continue;
    const auto Read =
        this->readRecordTexts(Task, Prefix + "bucket?n=" + std::to_string(I));
    if (!Read)
      return Read;
  }
  RecordBatch Batch;
  Batch.ComparedDomain = Task.Domain;
  postUpdate(this->Context, Batch);
  return {};
}

Result<void> PeerSync::readOneRecord(const SyncTask &Task) {
  // Several nodes announce the same record.
  if (Task.Rev <= this->Context.Records.expectedRevision(Task.Key))
    return {};
  Poco::URI Uri(std::string(PeerPathPrefix) + "record");
  Uri.addQueryParameter("kind", recordKindName(Task.Key.Kind));
  Uri.addQueryParameter("name", Task.Key.Name);
  return this->readRecordTexts(Task, Uri.getPathAndQuery());
}

Result<void> PeerSync::readRecordTexts(const SyncTask &Task,
                                       const std::string &Target) {
  const Address &Peer = Task.Peer;
  const auto Texts = queryPeer(this->Context, Peer, Target);
  if (!Texts)
    return tl::unexpected<Error>(Texts.error());
  RecordBatch Batch;
  const auto Way = Task.TaskKind == SyncTask::Kind::OneRecord
                       ? RecordOrigin::Way::Announcement
                       : RecordOrigin::Way::Comparison;
  Batch.Origin = {Way, Task.Peer, Task.Domain};
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
    auto Decoded = decodeMember(Value);
    if (Decoded)
      Members.push_back(std::move(*Decoded));
  }
  this->Context.postCommand(Members);
  return {};
}

} // namespace siskinstage
