#include "core/records/complete_lists.h"
#include "core/records/history_order.h"
#include "core/records/record_parser.h"
#include "core/records/record_store.h"
#include "core/records/revision_codec.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

const RecordKey Key = {RecordKind::Target, "i-1"};

Revision revision(std::uint64_t Epoch, std::uint64_t Value,
                  std::uint64_t Count = 0) {
  return {Value, {Epoch}, {0, Count}};
}

Record target(const Revision &Rev, bool Leaving = false) {
  TargetRecord Target;
  Target.Spec.Leaving = Leaving;
  return {Key, Rev, Target, nullptr};
}

// Guards against an older state that wins as the platform assigned a higher
// revision, or a higher epoch, to it.
TEST(Revision, TheWritersVersionComesBeforeEpochAndNumber) {
  EXPECT_LT(revision(1, 9), revision(2, 3));
  EXPECT_LT(revision(2, 3), revision(2, 4));
  EXPECT_LT(revision(2, 3, 1), revision(1, 9, 2));
  EXPECT_EQ(revision(2, 3, 1).position(), revision(2, 3));
}

// Guards against nodes that ignore a record, as its revision was assigned
// before to one that the platform lost.
TEST(RecordStore, ARecordOfANewEpochReplacesOneOfAHigherRevision) {
  for (const std::uint64_t Value : {8U, 9U}) {
    RecordStore Records;
    Records.adopt(target(revision(1, 9)));
    EXPECT_EQ(Records.adopt(target(revision(2, Value), true)),
              RecordStore::Adoption::Adopted);
    EXPECT_EQ(Records.adopt(target(revision(1, 9))),
              RecordStore::Adoption::Older);
    EXPECT_EQ(Records.highest(), revision(2, Value));
  }
}

// Guards against a target that is used again as the copy has it in a state
// before it began to leave.
TEST(RecordStore, AnOlderStateOfTheCopyIsNotAdopted) {
  RecordStore Records;
  Records.adopt(target(revision(1, 9, 5), true));
  EXPECT_EQ(Records.adopt(target(revision(2, 7, 4))),
            RecordStore::Adoption::Older);
}

// Guards against all targets being applied, broadcast and compared again when
// the epoch changes.
TEST(RecordStore, AnUnchangedTargetOnlyTakesOverTheEpoch) {
  RecordStore Records;
  RecordStore Peer;
  Records.adopt(target(revision(1, 9, 5)));
  Peer.adopt(target(revision(1, 9, 5)));
  EXPECT_EQ(Records.adopt(target(revision(2, 7, 5))),
            RecordStore::Adoption::Same);
  EXPECT_EQ(Records.find(Key)->Rev, revision(2, 7, 5));
  EXPECT_EQ(Records.digest(), Peer.digest());
  Records.adopt(target(revision(2, 8, 6), true));
  EXPECT_NE(Records.digest(), Peer.digest());
}

// Guards against two records under one revision that peers take for the same.
TEST(RecordStore, DigestsTellTargetsOfOneRevisionApart) {
  RecordStore Records;
  RecordStore Peer;
  Records.adopt(target(revision(1, 9)));
  Peer.adopt(target(revision(1, 9), true));
  EXPECT_NE(Records.digest(), Peer.digest());
}

// Guards against a departed target that the copy brings back, and against one
// that is taken for departed though it is registered again.
TEST(AdoptableRevision, ADeletedRecordIsOnlyReplacedByALaterOne) {
  const Revision Deleted = deletedRevision(revision(1, 12), {70, 4});
  const auto Read = [](std::uint64_t Epoch, std::uint64_t Value,
                       std::uint64_t Count) {
    return Revision{Value, {Epoch}, {70, Count}};
  };
  EXPECT_FALSE(
      adoptableRevision(Read(2, 9, 4), Deleted, ReadSource::WholeRead));
  EXPECT_FALSE(adoptableRevision(Read(1, 11, 4), Deleted, ReadSource::Watch));
  EXPECT_EQ(adoptableRevision(Read(2, 9, 5), Deleted, ReadSource::WholeRead),
            Read(2, 9, 5));
  // A writer that does not count is ordered by the platform alone.
  EXPECT_EQ(adoptableRevision(Read(1, 13, 4), Deleted, ReadSource::WholeRead),
            Read(1, 13, 5));
  EXPECT_EQ(adoptableRevision(Read(2, 9, 4), Deleted, ReadSource::Watch),
            Read(2, 9, 5));
}

TEST(AdoptableRevision, WithoutWritersTheEpochAndTheNumberDecide) {
  EXPECT_FALSE(
      adoptableRevision(revision(1, 9), revision(1, 9), ReadSource::Watch));
  EXPECT_EQ(
      adoptableRevision(revision(2, 3), revision(1, 9), ReadSource::WholeRead),
      revision(2, 3));
}

// Guards against targets of a lost state that stay for ever, and against lists
// of an earlier epoch that delete targets of a later one.
TEST(CompleteLists, AListCoversRecordsOfEarlierEpochs) {
  CompleteLists Lists;
  RecordStore Known;
  Known.adopt(target(revision(1, 30, 5)));
  const auto Deletions =
      Lists.add({RecordKind::Target, revision(2, 10), {}}, Known);
  ASSERT_EQ(Deletions.size(), 1U);
  EXPECT_EQ(Known.adopt(Deletions.front()), RecordStore::Adoption::Adopted);
  // A frozen node's record, and the state of the copy, are older.
  for (const Revision &Old : {revision(1, 30, 5), revision(2, 8, 4)}) {
    EXPECT_EQ(Known.adopt(target(Old)), RecordStore::Adoption::Older);
    EXPECT_TRUE(Lists.deletionOf(target(Old), RecordStore()));
  }
  EXPECT_FALSE(Lists.deletionOf(target(revision(3, 2, 6)), Known));
}

TEST(RevisionCodec, WritesOnlyWhatIsStated) {
  Json::Value Plain(Json::objectValue);
  writeRevision({7}, "r", Plain);
  EXPECT_EQ(Plain.size(), 1U);
  for (const Revision &Rev :
       {Revision{7}, revision(2, 7, 1), deletedRevision({7, {2}}, {70, 4})}) {
    Json::Value Object(Json::objectValue);
    writeRevision(Rev, "r", Object);
    EXPECT_EQ(readRevision(Object, "r"), Rev);
  }
}

TEST(RevisionCodec, RefusesMalformedFields) {
  for (const char *Text :
       {R"({"r":-1})", R"({"r":1,"r_epoch":-2})", R"({"r":1,"r_epoch":1.5})",
        R"({"r":1,"r_epoch":9007199254740993})", R"({"r":1,"r_writer":[1]})",
        R"({"r":1,"r_writer":[1,"2"]})", R"({"r":1,"r_writer":[1,2,3]})"}) {
    const auto Values = parseRecords(Text, "test");
    ASSERT_TRUE(Values);
    EXPECT_FALSE(readRevision(Values->front(), "r")) << Text;
  }
}

TEST(RecordParser, AMalformedEpochIsNamed) {
  const auto Values = parseRecords(
      R"({"schema":2,"kind":"account","name":"a","revision":1,
          "revision_epoch":"x"})",
      "test");
  const RecordReading Reading = readRecord(Values->front());
  ASSERT_EQ(Reading.Faults.size(), 1U);
  EXPECT_EQ(Reading.Faults.front().Path, "revision_epoch");
}

} // namespace
} // namespace siskinstage
