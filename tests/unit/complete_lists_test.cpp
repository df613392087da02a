#include "core/records/complete_lists.h"
#include "core/records/record_parser.h"
#include "core/records/record_store.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

RecordKey target(const std::string &Name) { return {RecordKind::Target, Name}; }

Record targetRecord(const std::string &Name, std::uint64_t Rev) {
  return {target(Name), {Rev}, TargetRecord{}, nullptr};
}

Record tombstone(const std::string &Name, std::uint64_t Rev) {
  return makeTombstone(target(Name), {Rev});
}

bool isTombstone(const Record &Entry) {
  return std::holds_alternative<Tombstone>(Entry.Body);
}

class CompleteListsTest : public testing::Test {
protected:
  RecordStore Known;
  CompleteLists Lists;

  /// Adopts \p New as a record of a peer; returns whether it is in use.
  bool adoptFromPeer(const Record &New) {
    this->Known.adopt(this->Lists.deletionOf(New, this->Known).value_or(New));
    return !isTombstone(*this->Known.find(New.Key));
  }
  /// Adds a list of targets as of \p Rev and adopts the tombstones.
  void addList(std::set<std::string> Names, std::uint64_t Rev) {
    for (const Record &Deletion : this->Lists.add(
             {RecordKind::Target, {Rev}, std::move(Names)}, this->Known))
      this->Known.adopt(Deletion);
  }
};

// A node that starts after a target left has no tombstone of it.
TEST_F(CompleteListsTest, AnUnknownRecordThatIsOlderThanTheListWasDeleted) {
  this->addList({"a"}, 10);
  EXPECT_FALSE(this->adoptFromPeer(targetRecord("left", 7)));
  EXPECT_EQ(this->Known.find(target("left"))->Rev, Revision{10});
  EXPECT_TRUE(this->adoptFromPeer(targetRecord("new", 10)));
  EXPECT_TRUE(this->adoptFromPeer(targetRecord("newer", 11)));
}

TEST_F(CompleteListsTest, AKnownRecordThatTheListLacksWasDeleted) {
  this->Known.adopt(targetRecord("a", 5));
  this->Known.adopt(targetRecord("left", 7));
  this->Known.adopt(targetRecord("new", 12));
  this->Known.adopt({{RecordKind::Bundle, "operator"}, {3}, {}, nullptr});
  this->addList({"a"}, 10);
  EXPECT_FALSE(isTombstone(*this->Known.find(target("a"))));
  EXPECT_TRUE(isTombstone(*this->Known.find(target("left"))));
  EXPECT_FALSE(isTombstone(*this->Known.find(target("new"))));
  EXPECT_EQ(this->Known.find({RecordKind::Bundle, "operator"})->Rev,
            Revision{3});
}

TEST_F(CompleteListsTest, ATargetThatRegistersAgainIsUsed) {
  this->addList({}, 10);
  EXPECT_FALSE(this->adoptFromPeer(targetRecord("a", 7)));
  EXPECT_TRUE(this->adoptFromPeer(targetRecord("a", 11)));
}

TEST_F(CompleteListsTest, ARecordBetweenATombstoneAndTheListWasDeleted) {
  this->Known.adopt(tombstone("a", 5));
  this->addList({}, 10);
  EXPECT_FALSE(this->adoptFromPeer(targetRecord("a", 7)));
}

TEST_F(CompleteListsTest, KnownRevisionsAreLeftAlone) {
  this->Known.adopt(tombstone("a", 8));
  this->addList({}, 10);
  EXPECT_FALSE(this->Lists.deletionOf(targetRecord("a", 7), this->Known));
  EXPECT_FALSE(this->Lists.deletionOf(tombstone("b", 7), this->Known));
}

TEST_F(CompleteListsTest, NothingIsDeletedWithoutAList) {
  EXPECT_TRUE(this->adoptFromPeer(targetRecord("a", 7)));
  this->addList({"a"}, 10);
  this->Lists.clear();
  EXPECT_TRUE(this->adoptFromPeer(targetRecord("b", 7)));
}

// Nodes with lists of different revisions must end with the same records.
TEST_F(CompleteListsTest, TombstonesOfDifferentListsConverge) {
  CompleteLists Other;
  RecordStore OtherKnown;
  this->addList({}, 10);
  Other.add({RecordKind::Target, {14}, {}}, OtherKnown);
  const Record Old = targetRecord("a", 7);
  const auto First = this->Lists.deletionOf(Old, this->Known);
  const auto Second = Other.deletionOf(Old, OtherKnown);
  ASSERT_TRUE(First && Second);
  for (RecordStore *Store : {&this->Known, &OtherKnown})
    for (const Record &Each : {Old, *First, *Second})
      Store->adopt(Each);
  EXPECT_EQ(this->Known.digest(), OtherKnown.digest());
}

// Peers parse the text of a tombstone like that of any record.
TEST(MakeTombstone, HasTheTextOfADeletedRecord) {
  const auto Values = parseRecords(*tombstone("i-1 a", 9).Text, "peer");
  ASSERT_TRUE(Values);
  const RecordReading Reading = readRecord(Values->front());
  ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  EXPECT_EQ(Reading.Accepted->Key, target("i-1 a"));
  EXPECT_EQ(Reading.Accepted->Rev, Revision{9});
  EXPECT_TRUE(isTombstone(*Reading.Accepted));
}

} // namespace
} // namespace siskinstage
