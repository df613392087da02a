#include "core/random.h"
#include "core/records/complete_lists.h"
#include "core/records/history_order.h"
#include "core/records/record_parser.h"
#include "core/records/record_store.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace siskinstage {
namespace {

constexpr int Steps = 400;
/// Steps after a return of the platform until all is written again.
constexpr int RewriteSteps = 12;
constexpr std::size_t TargetCount = 4;

const RecordKey ConfigKey = {RecordKind::Bundle, "operator"};

/// The platform's history: all changes of one epoch.
struct History {
  HistoryEpoch Epoch{1};
  std::vector<Record> Changes; ///< In revisions from 1 on, without gaps.

  Revision position() const { return {this->Changes.size(), this->Epoch, {}}; }
  void write(Record New) {
    New.Rev.Value = this->Changes.size() + 1;
    this->Changes.push_back(std::move(New));
  }
  /// The last change of each record; deleted ones are left out.
  std::map<RecordKey, Record> items() const {
    std::map<RecordKey, Record> Items;
    for (const Record &Change : this->Changes)
      if (std::holds_alternative<Tombstone>(Change.Body))
        Items.erase(Change.Key);
      else
        Items.insert_or_assign(Change.Key, Change);
    return Items;
  }
};

/// A target as it knows itself.
struct Writer {
  RecordKey Key;
  WriterVersion Version;
  bool Registered = false;
  bool Leaving = false;
};

struct Node {
  RecordStore Records;
  CompleteLists Lists;
  Revision Seen; ///< Position of the platform in the last read.
  int FrozenUntil = 0;
  int RefusedUntil = 0; ///< Until then, the platform rejects its reads.
  int CutUntil = 0;     ///< Until then, no peer is reached.
};

/// A fleet that reads a platform which returns from older copies, and whose
/// nodes exchange records late, freeze and restart.
class ReturningPlatform {
public:
  ReturningPlatform(std::uint64_t Seed, std::size_t NodeCount)
      : Rng(Seed), Nodes(NodeCount) {
    for (std::size_t I = 0; I < TargetCount; ++I)
      this->Targets.push_back(
          {{RecordKind::Target, "t" + std::to_string(I)}, {1, 0}});
    this->writeConfig();
  }

  void run() {
    for (; this->Now < Steps; ++this->Now) {
      this->change();
      for (std::size_t I = 0; I < this->Nodes.size(); ++I)
        if (this->Now >= this->Nodes[I].FrozenUntil)
          this->act(this->Nodes[I]);
    }
    this->settle();
  }

private:
  Random Rng;
  std::vector<Node> Nodes;
  History Platform;
  std::vector<Writer> Targets;
  std::uint64_t ConfigVersion = 0;
  int Now = 0;
  int RewriteAt = -1; ///< When the writers write again what was lost.

  bool chance(double Probability) { return this->Rng.unit() < Probability; }
  std::size_t pick(std::size_t Count) {
    return this->Rng.below(static_cast<std::uint32_t>(Count));
  }

  void writeConfig() {
    this->ConfigVersion += 1 + this->Rng.below(3);
    this->Platform.write(this->config());
  }
  Record config() const {
    return {ConfigKey,
            {0, this->Platform.Epoch, {0, this->ConfigVersion}},
            BundleRecord{},
            nullptr};
  }
  Record entry(const Writer &Target) const {
    TargetRecord Body;
    Body.Spec.Leaving = Target.Leaving;
    Body.Spec.Process.Value = Target.Version.Process;
    return {Target.Key, {0, this->Platform.Epoch, Target.Version}, Body};
  }
  void writeEntry(Writer &Target) {
    Target.Registered = true;
    ++Target.Version.Count;
    this->Platform.write(this->entry(Target));
  }
  void removeEntry(const RecordKey &Key) {
    this->Platform.write({Key, {0, this->Platform.Epoch, {}}, Tombstone{}});
  }

  void change() {
    if (this->Now == this->RewriteAt)
      this->writeAgain();
    if (this->chance(0.05))
      this->writeConfig();
    Writer &Target = this->Targets[this->pick(this->Targets.size())];
    if (this->chance(0.1))
      this->changeTarget(Target);
    if (this->RewriteAt < this->Now && this->chance(0.02))
      this->returnFromCopy();
    Node &Disturbed = this->Nodes[this->pick(this->Nodes.size())];
    if (this->chance(0.02))
      Disturbed.FrozenUntil = this->Now + 5 + static_cast<int>(this->pick(40));
    Node &Separated = this->Nodes[this->pick(this->Nodes.size())];
    if (this->chance(0.02))
      Separated.RefusedUntil = this->Now + 5 + static_cast<int>(this->pick(60));
    if (this->chance(0.02))
      Separated.CutUntil = this->Now + 5 + static_cast<int>(this->pick(60));
    // One node at least keeps what the platform has lost.
    if (this->chance(0.02) && &Disturbed != &this->Nodes.front())
      Disturbed = Node();
  }

  void changeTarget(Writer &Target) {
    if (!Target.Registered) {
      Target.Leaving = false;
      Target.Version = {Target.Version.Process + 1, 0};
      this->writeEntry(Target);
    } else if (!Target.Leaving && this->chance(0.5)) {
      Target.Leaving = true;
      this->writeEntry(Target);
    } else {
      Target.Registered = false;
      if (this->Platform.items().count(Target.Key) > 0)
        this->removeEntry(Target.Key);
    }
  }

  void returnFromCopy() {
    // The first node knows all that is lost; the others need not.
    this->read(this->Nodes.front());
    std::vector<Record> &Changes = this->Platform.Changes;
    Changes.resize(Changes.size() -
                   this->pick(std::min<std::size_t>(Changes.size(), 12)));
    ++this->Platform.Epoch.Value;
    for (Record &Change : Changes)
      Change.Rev.Epoch = this->Platform.Epoch;
    this->RewriteAt = this->Now + RewriteSteps;
  }

  /// The writers write again what the copy lacks, and the entries of departed
  /// targets expire.
  void writeAgain() {
    const auto Items = this->Platform.items();
    const auto Config = Items.find(ConfigKey);
    if (Config == Items.end() ||
        Config->second.Rev.Writer.Count < this->ConfigVersion)
      this->Platform.write(this->config());
    for (Writer &Target : this->Targets) {
      const auto Item = Items.find(Target.Key);
      if (Target.Registered &&
          (Item == Items.end() || Item->second.Rev.Writer != Target.Version))
        this->writeEntry(Target);
      else if (!Target.Registered && Item != Items.end())
        this->removeEntry(Target.Key);
    }
  }

  void act(Node &Reader) {
    if (this->Now >= Reader.RefusedUntil && this->chance(0.2))
      this->read(Reader);
    Node &Peer = this->Nodes[this->pick(this->Nodes.size())];
    if (this->Now >=
            std::max({Peer.FrozenUntil, Peer.CutUntil, Reader.CutUntil}) &&
        this->chance(0.5))
      this->exchange(Reader, Peer);
  }

  /// Adopts the records of \p From at \p To.
  void exchange(const Node &From, Node &To) {
    const auto Sent = From.Records.all();
    for (const auto &[Key, Record] : Sent)
      if (this->chance(0.5) || this->Now >= Steps)
        this->adopt(To,
                    To.Lists.deletionOf(Record, To.Records).value_or(Record));
  }

  void read(Node &Reader) {
    const bool Continues =
        Reader.Seen.Epoch == this->Platform.Epoch && Reader.Seen.Value > 0;
    std::set<std::string> Names;
    if (Continues) {
      for (std::size_t I = Reader.Seen.Value; I < this->Platform.Changes.size();
           ++I)
        this->apply(Reader, this->Platform.Changes[I], ReadSource::Watch);
    } else {
      for (const auto &[Key, Item] : this->Platform.items())
        this->apply(Reader, Item, ReadSource::WholeRead);
    }
    // Missing entries are due again once all is written again.
    if (this->Now > this->RewriteAt) {
      for (const auto &[Key, Item] : this->Platform.items())
        Names.insert(Key.Name);
      for (const Record &Deletion : Reader.Lists.add(
               {RecordKind::Target, this->Platform.position(), Names},
               Reader.Records))
        this->adopt(Reader, Deletion);
    }
    Reader.Seen = this->Platform.position();
  }

  void apply(Node &Reader, Record Item, ReadSource Source) {
    const Record *Known = Reader.Records.find(Item.Key);
    const Revision Rev = Known == nullptr ? Revision{} : Known->Rev;
    if (isReached(Item.Rev.position(), Rev))
      return;
    if (std::holds_alternative<Tombstone>(Item.Body)) {
      Item.Rev = deletedRevision(Item.Rev, Rev.Writer);
    } else if (const auto New = adoptableRevision(Item.Rev, Rev, Source)) {
      Item.Rev = *New;
    } else {
      return;
    }
    this->adopt(Reader, Item);
  }

  void adopt(Node &Reader, const Record &New) {
    const Record *Old = Reader.Records.find(New.Key);
    const auto Before =
        Old == nullptr ? std::nullopt : std::optional<Record>(*Old);
    if (Reader.Records.adopt(New) != RecordStore::Adoption::Adopted || !Before)
      return;
    // No configuration goes back, and a target that left is only used again if
    // it registers again.
    RC_ASSERT(New.Rev.Writer >= Before->Rev.Writer);
    if (std::holds_alternative<Tombstone>(Before->Body) &&
        Before->Rev.Writer.isStated() &&
        !std::holds_alternative<Tombstone>(New.Body))
      RC_ASSERT(New.Rev.Writer.Process > Before->Rev.Writer.Process ||
                New.Rev.Writer.Count > Before->Rev.Writer.Count);
  }

  /// Ends all disruptions; all nodes must end with what the writers wrote.
  void settle() {
    this->writeAgain();
    this->Now = Steps + RewriteSteps;
    for (int Round = 0; Round < 3; ++Round)
      for (Node &Reader : this->Nodes) {
        this->read(Reader);
        for (Node &Peer : this->Nodes)
          this->exchange(Reader, Peer);
      }
    for (Node &Reader : this->Nodes) {
      RC_ASSERT(Reader.Records.digest() ==
                this->Nodes.front().Records.digest());
      RC_ASSERT(Reader.Records.find(ConfigKey)->Rev.Writer.Count ==
                this->ConfigVersion);
      for (const Writer &Target : this->Targets)
        this->checkTarget(Reader.Records.find(Target.Key), Target);
    }
  }

  static void checkTarget(const Record *Known, const Writer &Target) {
    const auto *Used =
        Known == nullptr ? nullptr : std::get_if<TargetRecord>(&Known->Body);
    RC_ASSERT((Used != nullptr) == Target.Registered);
    if (Used != nullptr) {
      RC_ASSERT(Used->Spec.Leaving == Target.Leaving);
      RC_ASSERT(Used->Spec.Process.Value == Target.Version.Process);
    }
  }
};

/// Guards against older configurations, departed targets and lasting
/// differences between nodes after the platform has returned from a copy.
RC_GTEST_PROP(StoreReturnProperty, NodesEndWithWhatWasWrittenLast, ()) {
  const auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  const auto Nodes = *rc::gen::inRange<std::size_t>(2, 7);
  ReturningPlatform(Seed, Nodes).run();
}

} // namespace
} // namespace siskinstage
