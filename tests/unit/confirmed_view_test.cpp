#include "core/fleet/confirmation_poll.h"
#include "core/fleet/confirmed_view.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

constexpr Millis Limit{5'000};

Instant at(int Ms) { return Instant(Millis(Ms)); }

SteeringNode node(const std::string &Name, const std::string &Domain) {
  return {NodeId(Name), Address(Name), FailureDomain(Domain), 0, false};
}

/// Guards against a node that serves keyed requests before anything confirmed
/// its configuration, or from nine tenths of the limit on.
TEST(ConfirmedView, KeyedRequestsAreServedBelowNineTenthsOfTheLimit) {
  ConfirmedView View;
  EXPECT_FALSE(View.mayServeKeyed(at(1), Limit));
  View.confirm(at(1'000));
  EXPECT_TRUE(View.mayServeKeyed(at(4'000), Limit));
  EXPECT_TRUE(View.mayServeKeyed(at(5'499), Limit));
  EXPECT_FALSE(View.mayServeKeyed(at(5'500), Limit));
}

/// Guards against a late response that takes the confirmed time back.
TEST(ConfirmedView, ConfirmedTimeNeverGoesBack) {
  ConfirmedView View;
  View.confirm(at(1'000));
  View.confirm(at(400));
  EXPECT_EQ(View.age(at(2'000)), Millis(1'000));
}

/// Guards against a view confirmed with a revision that requests do not see.
TEST(ConfirmedView, AnOfferWaitsForItsRevision) {
  ConfirmedView View;
  View.setApplied({5});
  View.offer(at(1'000), {6});
  EXPECT_FALSE(View.age(at(1'000)));
  EXPECT_TRUE(View.awaitsRecord());
  for (int I = 0; I < 100; ++I)
    View.offer(at(2'000), {7});
  View.setApplied({6});
  EXPECT_EQ(View.age(at(1'500)), Millis(500));
  View.setApplied({4});
  EXPECT_EQ(View.applied(), Revision{6});
}

/// Guards against a store that answers from an old state.
TEST(ConfirmedView, ARevisionOfTheStoreBelowOneSeenIsOld) {
  ConfirmedView View;
  EXPECT_TRUE(View.noteStoreRevision({8}));
  EXPECT_TRUE(View.noteStoreRevision({8}));
  EXPECT_FALSE(View.noteStoreRevision({7}));
  EXPECT_EQ(View.storeRevision(), Revision{8});
}

/// Guards against a node that waits for revisions which the store has lost, and
/// rejects all requests with a key meanwhile.
TEST(ConfirmedView, ALowerRevisionOfANewEpochIsNoOldState) {
  ConfirmedView View;
  EXPECT_TRUE(View.noteStoreRevision({8, {1}}));
  EXPECT_TRUE(View.noteStoreRevision({3, {2}}));
  EXPECT_FALSE(View.noteStoreRevision({9, {1}}));
  View.setApplied({8, {1}, {0, 20}});
  View.offer(at(1'000), {5, {2}, {0, 21}});
  EXPECT_FALSE(View.age(at(1'000)));
  View.setApplied({5, {2}, {0, 21}});
  EXPECT_EQ(View.age(at(1'500)), Millis(500));
}

/// Guards against a node with the copy's configuration that takes it for as new
/// as a peer's newer one, whose epoch is lower.
TEST(ConfirmedView, AConfigurationOfTheCopyIsNotAsNewAsALostOne) {
  ConfirmedView View;
  View.setApplied({5, {2}, {0, 19}});
  View.offer(at(1'000), {8, {1}, {0, 20}});
  EXPECT_FALSE(View.age(at(1'000)));
}

/// Guards against polls of the watchers by all nodes, and against a node that
/// polls itself.
TEST(ConfirmationPoll, EntriesPollWatchersAndOtherNodesTheirEntries) {
  const std::vector<SteeringNode> Watchers = {node("w1", "a"), node("w2", "b")};
  const std::vector<SteeringNode> Entries = {node("e1", "a"), node("e2", "b")};
  const PollPlan Entry =
      planPolls(Address("e1"), FailureDomain("a"), Watchers, Entries, Limit, 0);
  EXPECT_EQ(Entry.Peers, (std::vector<Address>{Address("w1"), Address("w2"),
                                               Address("e2")}));
  EXPECT_EQ(Entry.Period, Millis(500));
  const PollPlan Other =
      planPolls(Address("n"), FailureDomain("b"), Watchers, Entries, Limit, 1);
  EXPECT_EQ(Other.Peers.front(), Address("e2"));
  EXPECT_EQ(Other.Peers.size(), 4U);
  EXPECT_EQ(Other.Period, Millis(1'000));
  const PollPlan Watcher = planPolls(Address("w1"), FailureDomain("c"),
                                     Watchers, Entries, Millis(2'500), 0);
  EXPECT_EQ(Watcher.Peers.front(), Address("w2"));
  EXPECT_EQ(Watcher.Period, Millis(500));
}

/// Guards against a node whose view ages because one peer is silent.
TEST(ConfirmationPoll, ASilentPeerIsFollowedByTheNext) {
  const PollPlan Plan = {{Address("a"), Address("b")}, Millis(500)};
  ConfirmationPoll Poll(100);
  const auto First = Poll.next(Plan, at(1'000));
  ASSERT_TRUE(First);
  EXPECT_EQ(First->Peer, Address("a"));
  EXPECT_FALSE(Poll.next(Plan, at(1'499)));
  const auto Second = Poll.next(Plan, at(1'500));
  EXPECT_EQ(Second->Peer, Address("b"));
  EXPECT_EQ(Poll.receive(Address("b"), Second->Sequence), at(1'500));
  EXPECT_EQ(Poll.next(Plan, at(2'000))->Peer, Address("b"));
  // A late response still counts, from the time of its request.
  EXPECT_EQ(Poll.receive(Address("a"), First->Sequence), at(1'000));
}

/// Guards against a response that confirms a view although this process has not
/// asked for it.
TEST(ConfirmationPoll, OnlyResponsesToOwnRequestsCount) {
  const PollPlan Plan = {{Address("a"), Address("b")}, Millis(500)};
  ConfirmationPoll Poll(100);
  const auto Sent = Poll.next(Plan, at(1'000));
  EXPECT_FALSE(Poll.receive(Address("b"), Sent->Sequence));
  EXPECT_FALSE(Poll.receive(Address("a"), Sent->Sequence + 1));
  EXPECT_TRUE(Poll.receive(Address("a"), Sent->Sequence));
  EXPECT_FALSE(Poll.receive(Address("a"), Sent->Sequence));
}

} // namespace
} // namespace siskinstage
