#include "platform/store_epoch.h"

#include <gtest/gtest.h>

namespace siskinstage::platform {
namespace {

// Guards against an epoch that a faulty response sets back or raises beyond all
// later ones.
TEST(StoreEpoch, UnusableValuesChangeNothing) {
  StoreEpoch Epoch;
  EXPECT_TRUE(Epoch.note(""));
  EXPECT_EQ(Epoch.current().Value, 0U);
  EXPECT_TRUE(Epoch.note("3"));
  for (const char *Value : {"", "2", "-4", "4.5", "x", "4 ", "4, 5",
                            "9007199254740993", "99999999999999999999"}) {
    const auto Noted = Epoch.note(Value);
    ASSERT_FALSE(Noted) << Value;
    EXPECT_NE(Noted.error().text().find(Value), std::string::npos);
    EXPECT_EQ(Epoch.current().Value, 3U);
  }
  EXPECT_TRUE(Epoch.note("3"));
  EXPECT_TRUE(Epoch.note("5"));
  EXPECT_EQ(Epoch.current().Value, 5U);
}

} // namespace
} // namespace siskinstage::platform
