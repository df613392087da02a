#include "core/records/record_parser.h"
#include "core/requests/account_directory.h"
#include "platform/record_translation.h"

#include <gtest/gtest.h>
#include <json/writer.h>

namespace siskinstage::platform {
namespace {

constexpr const char *TenantConfig =
    R"({"version":"0000000a","routes":{
        "r1":{"host":"a.example","prefix":"/x/","kind":"safe","timeout-s":1.5,
              "target-latency-s":1,"priority":2,"max-attempts":2,
              "public":true,"service":"h1"},
        "r2":{"host":"a.example","prefix":"/y/","kind":"unsafe","timeout-s":4,
              "target-latency-s":1,"priority":1,"max-attempts":2,
              "backends":[{"service":"h1","weight":3}]}},
        "services":{"h1":{}},
        "tenants":{"blue":{"api-keys":["secret-1","secret-2"]},
                   "red":{"api-keys":["secret-3"],"priority":3,
                          "rate-per-s":2.5,"burst":7}}})";

StoreItem itemOf(const std::string &Value) {
  StoreItem Item;
  Item.Key = ConfigKey;
  Item.Value = Value;
  Item.Rev = {40};
  return Item;
}

std::string changed(const std::string &Old, const std::string &New) {
  std::string Text = TenantConfig;
  const std::size_t At = Text.find(Old);
  EXPECT_NE(At, std::string::npos) << Old;
  return Text.replace(At, Old.size(), New);
}

// Guards against limits lost in the translation, and against a record, which
// peers and dumps get, that holds a key.
TEST(TenantTranslation, TenantsAreAccountsWithDigests) {
  const auto Config = bundleRecord(itemOf(TenantConfig), {});
  ASSERT_TRUE(Config) << Config.error().text();
  const auto Reading = readRecord(Config->Bundle);
  ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  EXPECT_TRUE(Reading.Warnings.empty());
  EXPECT_EQ(Reading.Accepted->Text->find("secret"), std::string::npos);
  const auto &Bundle = std::get<BundleRecord>(Reading.Accepted->Body);
  EXPECT_TRUE(Bundle.Routes[0].Public);
  EXPECT_FALSE(Bundle.Routes[1].Public);
  EXPECT_EQ(Bundle.Accounts->find("secret-2")->Name.str(), "blue");
  EXPECT_FALSE(Bundle.Accounts->find("secret-1")->Priority);
  const AccountRecord *Red = Bundle.Accounts->find("secret-3");
  ASSERT_NE(Red, nullptr);
  EXPECT_EQ(Red->Priority, 3U);
  EXPECT_DOUBLE_EQ(Red->RatePerSecond, 2.5);
  EXPECT_DOUBLE_EQ(Red->Burst, 7);
}

// Guards against a configuration that is applied in part or without its checks,
// and against an error without the field or with a key.
TEST(TenantTranslation, AFaultRejectsTheWholeAndNamesItsFieldButNoKey) {
  const std::tuple<std::string, std::string, std::string> Cases[] = {
      {"}}}", "}}", "not complete JSON"},
      {"}}}", "}}} x", "not complete JSON"},
      {"\"secret-2\"", "secret-2", "not complete JSON"},
      {"\"red\"", "\"blue\"", "not complete JSON"},
      {"\"secret-2\"", "\"\"", "tenants.blue.api-keys[1]"},
      {"\"secret-2\"", "7", "tenants.blue.api-keys[1]"},
      {"\"secret-2\"", "\"secret-1\"", "tenants.blue.api-keys[1]"},
      {"\"secret-3\"", "\"secret-1\"", "tenants.red.api-keys[0]"},
      {"[\"secret-3\"]", "\"secret-3\"", "tenants.red.api-keys"},
      {"\"api-keys\":[\"secret-3\"],", "", "tenants.red.api-keys"},
      {"{\"api-keys\":[\"secret-1\",\"secret-2\"]}", "\"secret-1\"",
       "tenants.blue"},
      {"\"red\"", "\"\"", "tenants"},
      {"\"red\"", "\"r\\n\"", "tenants"},
      {"\"priority\":3", "\"priority\":-3", "tenants.red.priority"},
      {"\"rate-per-s\":2.5", "\"rate-per-s\":-1", "tenants.red.rate-per-s"},
      {"\"burst\":7", "\"burst\":\"7\"", "tenants.red.burst"},
      {"\"service\":\"h1\"", "\"service\":\"h9\"", "routes.r1.service"},
      {"{\"service\":\"h1\",\"w", "{\"service\":\"h9\",\"w",
       "routes.r2.backends[0].service"},
      {"[{\"service\":\"h1\",\"weight\":3}]", "[]", "routes.r2.backends"},
      {"\"timeout-s\":4,", "", "routes.r2.timeout-s"},
      {"\"weight\":3", "\"weight\":-3", "routes.r2.backends[0].weight"},
      {"\"kind\":\"unsafe\"", "\"kind\":\"risky\"", "routes.r2.kind"},
      {"\"kind\":\"unsafe\",", "", "routes.r2.kind"},
      {"\"/y/\"", "\"/x/\"", "routes.r2.prefix"},
      {"\"public\":true", "\"public\":\"yes\"", "routes.r1.public"},
      {"\"version\":\"0000000a\"", "\"version\":\"a\"", "version"},
      {"\"version\":\"0000000a\"", "\"version\":10", "version"}};
  for (const auto &[Old, New, Field] : Cases) {
    const auto Config = bundleRecord(itemOf(changed(Old, New)), {});
    ASSERT_FALSE(Config) << New;
    const std::string Text = Config.error().text();
    EXPECT_NE(Text.find(Field), std::string::npos) << Text;
    EXPECT_EQ(Text.find("secret"), std::string::npos) << Text;
  }
}

// Guards against an old configuration, written back under a new revision, that
// brings revoked keys back.
TEST(TenantTranslation, AVersionBelowTheOneTranslatedBeforeIsRejected) {
  const auto First = bundleRecord(itemOf(TenantConfig), {});
  ASSERT_TRUE(First);
  EXPECT_EQ(First->Version, 10U);
  EXPECT_TRUE(bundleRecord(itemOf(TenantConfig), {}, 10));
  const auto Older = bundleRecord(itemOf(TenantConfig), {}, 11);
  ASSERT_FALSE(Older);
  EXPECT_NE(Older.error().Reason.find("field version"), std::string::npos);
  const auto Unversioned =
      bundleRecord(itemOf(changed("\"version\":\"0000000a\",", "")), {}, 11);
  EXPECT_TRUE(Unversioned) << "the version is optional";
}

// Guards against a tenant without keys, or limits over those of records, that
// keep a configuration out of force.
TEST(TenantTranslation, LargeLimitsAndTenantsWithoutKeysAreAccepted) {
  for (const auto &[Old, New] :
       {std::pair("[\"secret-3\"]", "[]"),
        std::pair("\"burst\":7", "\"burst\":1e300"),
        std::pair("\"priority\":3", "\"priority\":99999")}) {
    const auto Config = bundleRecord(itemOf(changed(Old, New)), {});
    ASSERT_TRUE(Config) << Config.error().text();
    const auto Reading = readRecord(Config->Bundle);
    EXPECT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  }
}

} // namespace
} // namespace siskinstage::platform
