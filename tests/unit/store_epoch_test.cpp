#include "platform/store_epoch.h"

#include <gtest/gtest.h>

namespace siskinstage::platform {
namespace {

// Guards against an epoch that a faulty response sets back or raises beyond all
// later ones.
TEST(StoreEpoch, UnusableValuesChangeNothing) {
  StoreEpoch Epoch;
  const auto Note = [&Epoch](const std::string &Value) {
    return Epoch.note(Value, Epoch.current());
  };
  EXPECT_TRUE(Note(""));
  EXPECT_EQ(Epoch.current().Value, 0U);
  EXPECT_TRUE(Note("3"));
  for (const char *Value : {"", "2", "-4", "4.5", "x", "4 ", "4, 5",
                            "9007199254740993", "99999999999999999999"}) {
    const auto Noted = Note(Value);
    ASSERT_FALSE(Noted) << Value;
    EXPECT_NE(Noted.error().text().find(Value), std::string::npos);
    EXPECT_EQ(Epoch.current().Value, 3U);
  }
  EXPECT_TRUE(Note("3"));
  EXPECT_TRUE(Note("5"));
  EXPECT_EQ(Epoch.current().Value, 5U);
}

// Guards against a response of the history before that counts as one of the
// new epoch, which another client has seen meanwhile.
TEST(StoreEpoch, ALateResponseIsOfTheEpochThatItStates) {
  StoreEpoch Epoch;
  EXPECT_TRUE(Epoch.note("3", {0}));
  EXPECT_TRUE(Epoch.note("4", {3}));
  EXPECT_EQ(Epoch.note("3", {3}), HistoryEpoch{3});
  EXPECT_EQ(Epoch.current().Value, 4U);
  EXPECT_FALSE(Epoch.note("3", {4}));
}

} // namespace
} // namespace siskinstage::platform
