#include "core/requests/key_table.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace siskinstage {
namespace {

/// Applies random events to a small table and asserts that no key is dispatched
/// twice, and that no key reported as not run is dispatched later.
class KeyTableDriver {
public:
  KeyTableDriver()
      : Table({6, 1000, 100, std::chrono::seconds(10), 1}, this->Now) {}

  void step() {
    const auto Key = "key" + std::to_string(*rc::gen::inRange(0, 12));
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
      this->claim(Key);
      break;
    case 2:
    case 3:
      this->dispatch(Key);
      break;
    case 4:
      this->Table.endCompleted(Key, std::make_shared<StoredResponse>());
      break;
    case 5:
      this->Table.endUnknown(Key);
      break;
    case 6:
      this->endNotRun(Key);
      break;
    default:
      this->Now += std::chrono::seconds(*rc::gen::inRange(0, 8));
    }
  }

private:
  Instant Now;
  KeyTable Table;
  std::map<std::string, KeyEpoch> EpochOf;
  std::set<std::string> Dispatched;
  std::set<std::string> ReportedNotRun;

  void claim(const std::string &Key) {
    // A caller keeps using the key prefix that it received first.
    const auto Epoch = this->Table.epochForNewKeys(this->Now);
    if (Epoch)
      this->EpochOf.try_emplace(Key, *Epoch);
    if (this->EpochOf.count(Key) == 0)
      return;
    const auto Result =
        this->Table.claim(this->EpochOf[Key], Key, Fingerprint{1}, this->Now);
    if (Result == KeyTable::Claim::Sealed) {
      RC_ASSERT(this->Dispatched.count(Key) == 0);
      this->ReportedNotRun.insert(Key);
    }
  }

  void dispatch(const std::string &Key) {
    if (!this->Table.beginDispatch(Key))
      return;
    RC_ASSERT(this->Dispatched.count(Key) == 0);
    RC_ASSERT(this->ReportedNotRun.count(Key) == 0);
    if (*rc::gen::inRange(0, 3) == 0) {
      this->Table.retractDispatch(Key);
      return;
    }
    this->Dispatched.insert(Key);
  }

  void endNotRun(const std::string &Key) {
    this->Table.endNotRun(Key);
    const auto View = this->Table.find(Key);
    if (!View || View->CurrentState != KeyTable::State::NotRun)
      return;
    RC_ASSERT(this->Dispatched.count(Key) == 0);
    this->ReportedNotRun.insert(Key);
  }
};

RC_GTEST_PROP(KeyTableProperty, DispatchesEachKeyAtMostOnce, ()) {
  KeyTableDriver Driver;
  for (int I = 0; I < 300; ++I)
    Driver.step();
}

TEST(KeyTable, GivesAResendTheFirstAnswer) {
  KeyTable Table({10, 1000, 500, std::chrono::seconds(10), 1}, Instant{});
  const KeyEpoch Epoch = *Table.epochForNewKeys(Instant{});
  EXPECT_EQ(Table.claim(Epoch, "k", {1}, Instant{}), KeyTable::Claim::New);
  EXPECT_EQ(Table.claim(Epoch, "k", {1}, Instant{}), KeyTable::Claim::Joined);
  EXPECT_EQ(Table.claim(Epoch, "k", {2}, Instant{}), KeyTable::Claim::Mismatch);
  ASSERT_TRUE(Table.beginDispatch("k"));
  EXPECT_FALSE(Table.beginDispatch("k"));
  Table.endCompleted("k", std::make_shared<StoredResponse>(
                              StoredResponse{200, "OK", {}, "sold"}));
  EXPECT_EQ(Table.claim(Epoch, "k", {1}, Instant{}), KeyTable::Claim::Ended);
  EXPECT_EQ(Table.find("k")->Response->Body, "sold");
}

TEST(KeyTable, ForgetsAKeyOnlyWithItsEpoch) {
  KeyTable Table({10, 1000, 500, std::chrono::seconds(10), 1}, Instant{});
  const KeyEpoch Epoch = *Table.epochForNewKeys(Instant{});
  Table.claim(Epoch, "k", {1}, Instant{});
  Table.endNotRun("k");
  const auto At = [](int Seconds) {
    return Instant(std::chrono::seconds(Seconds));
  };
  EXPECT_EQ(Table.claim(Epoch, "k", {1}, At(15)), KeyTable::Claim::Ended);
  EXPECT_EQ(Table.claim(Epoch, "k", {1}, At(40)), KeyTable::Claim::Expired);
}

} // namespace
} // namespace siskinstage
