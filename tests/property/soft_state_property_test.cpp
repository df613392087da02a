#include "core/fleet/soft_state.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace siskinstage {
namespace {

constexpr std::size_t Room = 1000;

Address ownerOf(int Index) {
  return Address("10.0.0." + std::to_string(Index) + ":80");
}

Instant at(int Millis_) { return Instant(Millis(Millis_)); }

SoftStateUpdate drawUpdate() {
  SoftStateUpdate Update;
  Update.Id = {SoftStateKind::Quota,
               std::string(1, *rc::gen::inRange('a', 'd')),
               ownerOf(*rc::gen::inRange(1, 4))};
  Update.OwnerProcess = *rc::gen::inRange<std::uint64_t>(1, 4);
  Update.Version = *rc::gen::inRange<std::uint64_t>(1, 4);
  // One version has one value, as only its owner writes it.
  const std::uint64_t Sum = Update.OwnerProcess * 3 + Update.Version;
  if (Sum % 4 != 0)
    Update.Value = "v" + std::to_string(Sum);
  Update.Remaining = Millis(*rc::gen::inRange(1, 2000));
  return Update;
}

SoftState tableOf(const std::vector<SoftStateUpdate> &Updates) {
  SoftState Table(ownerOf(9), 1, Room);
  Table.merge(Updates, at(0));
  return Table;
}

/// Fails if the result depends on the order, the grouping or the repetition of
/// messages: nodes would then disagree for good.
RC_GTEST_PROP(SoftStateProperty, MergeDependsOnTheEntriesAlone, ()) {
  auto Updates = *rc::gen::container<std::vector<SoftStateUpdate>>(
      rc::gen::exec(drawUpdate));
  const SoftState First = tableOf(Updates);
  const std::size_t Count = Updates.size();
  for (std::size_t I = Count; I > 1; --I)
    std::swap(Updates[I - 1], Updates[*rc::gen::inRange<std::size_t>(0, I)]);
  for (std::size_t I = 0; I < Count; I += 2)
    Updates.push_back(Updates[I]);
  SoftState Second(ownerOf(9), 1, Room);
  const auto Split = static_cast<std::ptrdiff_t>(Count / 2);
  Second.merge(
      tableOf({Updates.begin(), Updates.begin() + Split}).difference({}, at(0)),
      at(0));
  Second.merge({Updates.begin() + Split, Updates.end()}, at(0));
  Second.merge(Second.difference({}, at(0)), at(0));
  for (const int Time : {0, 500, 1500}) {
    RC_ASSERT(First.digest(at(Time)) == Second.digest(at(Time)));
    RC_ASSERT(First.values(SoftStateKind::Quota, at(Time)) ==
              Second.values(SoftStateKind::Quota, at(Time)));
    RC_ASSERT(First.difference(Second.digest(at(Time)), at(Time)).empty());
  }
}

/// A message on its way between two nodes.
struct Parcel {
  int To = 0;
  int ArrivesMs = 0;
  std::vector<SoftStateUpdate> Updates;
};

/// Fails if an entry that has ended or was replaced or deleted at a node is in
/// force there again, with late and repeated messages, restarts of the owner
/// and a partition.
RC_GTEST_PROP(SoftStateProperty, NothingThatHasEndedComesBack, ()) {
  constexpr int Nodes = 4;
  constexpr int StepMs = 100;
  constexpr int Steps = 200;
  std::vector<SoftState> Tables;
  for (int I = 0; I < Nodes; ++I)
    Tables.emplace_back(ownerOf(I), 1, Room);
  std::vector<Parcel> Sent;
  std::uint64_t Process = 1;
  // For each node the latest version of the owner, node 0, that it has seen
  // end; a version is its process and the number of its write.
  using Stamp = std::pair<std::uint64_t, int>;
  std::vector<Stamp> Ended(Nodes);
  std::vector<std::optional<Stamp>> InForce(Nodes);
  const int CutFrom = *rc::gen::inRange(0, Steps);
  const int CutTo = CutFrom + *rc::gen::inRange(0, 80);
  for (int Step = 0; Step < Steps; ++Step) {
    const Instant Now = at(Step * StepMs);
    const int Action = *rc::gen::inRange(0, 12);
    if (Action == 0)
      Tables[0] = SoftState(ownerOf(0), ++Process, Room);
    else if (Action == 1)
      Tables[0].erase(SoftStateKind::Quota, "k", Now);
    else if (Action < 4)
      Tables[0].set(SoftStateKind::Quota, "k",
                    std::to_string(Process) + ":" + std::to_string(Step),
                    Millis(*rc::gen::inRange(100, 1500)), Now);
    const int From = *rc::gen::inRange(0, Nodes);
    const int To = *rc::gen::inRange(0, Nodes);
    const bool Cut = Step >= CutFrom && Step < CutTo && From % 2 != To % 2;
    if (!Cut)
      Sent.push_back({To, Step * StepMs + *rc::gen::inRange(0, 4000),
                      Tables[From].difference(Tables[To].digest(Now), Now)});
    for (const Parcel &Item : Sent)
      if (Item.ArrivesMs / StepMs == Step)
        Tables[Item.To].merge(Item.Updates, Now);
    for (int I = 0; I < Nodes; ++I) {
      if (I == 0)
        continue;
      const auto Values = Tables[I].values(SoftStateKind::Quota, Now);
      std::optional<Stamp> Current;
      if (!Values.empty()) {
        const std::string &Text = Values.begin()->second;
        Current = Stamp(std::stoull(Text),
                        std::stoi(Text.substr(Text.find(':') + 1)));
        RC_ASSERT(*Current > Ended[I]);
      }
      if (InForce[I] && InForce[I] != Current)
        Ended[I] = std::max(Ended[I], *InForce[I]);
      InForce[I] = Current;
    }
  }
}

/// Fails if a malformed entry affects others, or is not counted.
TEST(SoftState, AMalformedEntryIsCountedAndAffectsNoOther) {
  SoftState Table(ownerOf(9), 1, Room);
  const SoftStateId Good = {SoftStateKind::Quota, "a", ownerOf(1)};
  const SoftStateId Long = {SoftStateKind::Quota, std::string(201, 'x'),
                            ownerOf(1)};
  const auto Changed = Table.merge({{Long, 1, 1, "v", Millis(100)},
                                    {Good, 1, 1, "v", Duration::zero()},
                                    {Good, 1, 1, "v", std::chrono::hours(9)},
                                    {Good, 1, 2, "w", Millis(100)}},
                                   at(0));
  EXPECT_EQ(Changed.size(), 1U);
  EXPECT_EQ(Table.stats().Malformed, 3U);
  EXPECT_EQ(Table.values(SoftStateKind::Quota, at(0)).at(Good), "w");
}

/// Fails if the table grows without bound, or known entries are lost for new
/// ones.
TEST(SoftState, AFullTableRefusesNewEntriesAndCountsThem) {
  SoftState Table(ownerOf(9), 1, 1);
  EXPECT_TRUE(Table.set(SoftStateKind::Quota, "a", "1", Millis(100), at(0)));
  EXPECT_FALSE(Table.set(SoftStateKind::Quota, "b", "1", Millis(100), at(0)));
  EXPECT_TRUE(Table.set(SoftStateKind::Quota, "a", "2", Millis(100), at(0)));
  EXPECT_EQ(Table.stats().Full, 1U);
  Table.expire(at(100) + config::SoftStateRetention + Millis(1));
  EXPECT_EQ(Table.stats().Entries, 0U);
}

/// Fails if a process whose clock was set back can't replace the entries of the
/// process before it.
TEST(SoftState, AProcessReplacesTheEntriesOfTheOneBeforeIt) {
  SoftState Old(ownerOf(1), 50, Room);
  SoftState New(ownerOf(1), 40, Room);
  SoftState Peer(ownerOf(2), 1, Room);
  Old.set(SoftStateKind::Quota, "a", "old", Millis(900), at(0));
  Peer.merge(Old.difference({}, at(0)), at(0));
  New.merge(Peer.difference({}, at(1)), at(1));
  New.set(SoftStateKind::Quota, "a", "new", Millis(900), at(2));
  Peer.merge(New.difference({}, at(3)), at(3));
  const auto Values = Peer.values(SoftStateKind::Quota, at(3));
  ASSERT_EQ(Values.size(), 1U);
  EXPECT_EQ(Values.begin()->second, "new");
}

} // namespace
} // namespace siskinstage
