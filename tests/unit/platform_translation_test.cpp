#include "core/records/record_parser.h"
#include "core/requests/route_table.h"
#include "platform/record_translation.h"
#include "platform/settings_file.h"

#include <gtest/gtest.h>

namespace siskinstage::platform {
namespace {

StoreItem serverItem(const std::string &Value) {
  StoreItem Item;
  Item.Key = "servers/i-7f3a";
  Item.Value = Value;
  Item.Rev = {12};
  return Item;
}

StoreItem configItem(const std::string &Value) {
  StoreItem Item;
  Item.Key = ConfigKey;
  Item.Value = Value;
  Item.Rev = {40};
  return Item;
}

constexpr const char *ValidServer =
    R"({"address":"10.128.0.9:8080","born":1700000000123,
        "details":{"service":"h1","version":"v1","zone":"za","slots":3},
        "status":{"state":"ready","seq":4,"warmup-left-s":1.5}})";

constexpr const char *ValidConfig =
    R"({"version":"00000007","routes":{
        "r1":{"host":"a.example","prefix":"/x/","kind":"safe","timeout-s":1.5,
              "target-latency-s":1,"priority":2,"max-attempts":2,
              "backends":[{"service":"h1","weight":90},
                          {"service":"h2","weight":10}]},
        "r2":{"host":"a.example","prefix":"/y/","kind":"upload","timeout-s":4,
              "target-latency-s":1,"priority":1,"max-attempts":2,
              "service":"h2"}},
        "services":{"h1":{"health-path":"/health"},"h2":{}},
        "limits":{}})";

TEST(PlatformTranslation, AServerIsATarget) {
  const auto Translated = targetRecord(serverItem(ValidServer));
  ASSERT_TRUE(Translated) << Translated.error().text();
  const auto Reading = readRecord(*Translated);
  ASSERT_TRUE(Reading.Accepted);
  EXPECT_EQ(Reading.Accepted->Rev.Value, 12U);
  const auto &Target = std::get<TargetRecord>(Reading.Accepted->Body);
  EXPECT_EQ(Target.Spec.Id.str(), "i-7f3a");
  EXPECT_EQ(Target.Service.str(), "h1");
  EXPECT_EQ(Target.Spec.Domain.str(), "za");
  EXPECT_EQ(Target.Spec.Capacity.Value, 3U);
  EXPECT_EQ(Target.Spec.Warmup, Millis(1500));
  EXPECT_EQ(Target.Spec.Process.Value, 1700000000123U);
  EXPECT_FALSE(Target.Spec.Leaving);
}

// Guards against records that the store's revision alone puts in order: it
// assigns revisions again after it has returned from a copy.
TEST(PlatformTranslation, RecordsHaveTheOrderOfTheirWriters) {
  StoreItem Server = serverItem(ValidServer);
  Server.Rev.Epoch = {3};
  EXPECT_EQ(readRecord(*targetRecord(Server)).Accepted->Rev,
            (Revision{12, {3}, {1700000000123, 4}}));
  StoreItem Config = configItem(ValidConfig);
  Config.Rev.Epoch = {3};
  const Revision Expected = {40, {3}, {0, 7}};
  EXPECT_EQ(readRecord(bundleRecord(Config, {})->Bundle).Accepted->Rev,
            Expected);
  EXPECT_EQ(*bundleRevision(Config), Expected);
}

TEST(PlatformTranslation, ADrainingServerIsLeaving) {
  std::string Text = ValidServer;
  Text.replace(Text.find("ready"), 5, "draining");
  EXPECT_TRUE((*targetRecord(serverItem(Text)))["leaving"].asBool());
}

TEST(PlatformTranslation, AMalformedServerIsNamedWithItsField) {
  const std::pair<std::string, std::string> Changes[] = {
      {"\"ready\"", "\"asleep\""},
      {"\"za\"", "7"},
      {"\"slots\":3", "\"slots\":\"3\""},
      {"1.5", "\"soon\""},
      {"1.5", "1e300"},
      {"\"details\":{", "\"other\":{"}};
  const std::string Fields[] = {"status.state",         "details.zone",
                                "details.slots",        "status.warmup-left-s",
                                "status.warmup-left-s", "details"};
  for (std::size_t I = 0; I < std::size(Changes); ++I) {
    std::string Text = ValidServer;
    Text.replace(Text.find(Changes[I].first), Changes[I].first.size(),
                 Changes[I].second);
    const auto Translated = targetRecord(serverItem(Text));
    ASSERT_FALSE(Translated) << Changes[I].second;
    EXPECT_EQ(Translated.error().Peer, "servers/i-7f3a");
    EXPECT_NE(Translated.error().Reason.find(Fields[I]), std::string::npos)
        << Translated.error().Reason;
  }
  EXPECT_FALSE(targetRecord(serverItem("\x01\x02")));
  EXPECT_FALSE(targetRecord(serverItem("[]")));
}

TEST(PlatformTranslation, AConfigurationIsOneBundle) {
  const auto Translated = bundleRecord(configItem(ValidConfig), {});
  ASSERT_TRUE(Translated) << Translated.error().text();
  const auto Reading = readRecord(Translated->Bundle);
  ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  const auto &Bundle = std::get<BundleRecord>(Reading.Accepted->Body);
  ASSERT_EQ(Bundle.Routes.size(), 2U);
  EXPECT_EQ(Bundle.Routes[0].Repeatable, true);
  EXPECT_EQ(Bundle.Routes[0].Backends[1].Weight, 10U);
  EXPECT_EQ(Bundle.Routes[0].Timeout, Millis(1500));
  EXPECT_EQ(Bundle.Routes[0].MaxAttempts, 2U);
  EXPECT_EQ(Bundle.Routes[1].Repeatable, false);
  ASSERT_EQ(Bundle.Services.size(), 2U);
  EXPECT_EQ(Bundle.Services[0].HealthPath, "/health");
  EXPECT_TRUE(Bundle.Services[0].RequireEcho);
}

TEST(PlatformTranslation, ABadConfigurationIsRefusedWhole) {
  std::string Text = ValidConfig;
  Text.replace(Text.find("\"timeout-s\":1.5"), 15, "\"timeout-s\":null");
  const auto Translated = bundleRecord(configItem(Text), {});
  ASSERT_FALSE(Translated);
  EXPECT_NE(Translated.error().Reason.find("routes.r1.timeout-s"),
            std::string::npos);
}

/// ValidConfig with each \p Replaced text in place of the first one.
std::string changedConfig(
    const std::vector<std::pair<std::string, std::string>> &Replaced) {
  std::string Text = ValidConfig;
  for (const auto &[Old, New] : Replaced)
    Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

TEST(PlatformTranslation, LargeValuesKeepNoConfigurationOutOfForce) {
  const auto Translated = bundleRecord(
      configItem(changedConfig(
          {{"\"timeout-s\":1.5", "\"timeout-s\":600"},
           {"\"target-latency-s\":1", "\"target-latency-s\":86400"},
           {"\"priority\":2", "\"priority\":70000"},
           {"\"max-attempts\":2", "\"max-attempts\":5000"},
           {"\"/health\"", "\"\""}})),
      {});
  ASSERT_TRUE(Translated) << Translated.error().text();
  const auto Reading = readRecord(Translated->Bundle);
  ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  const auto &Bundle = std::get<BundleRecord>(Reading.Accepted->Body);
  // No request lasts longer, so that the limit has the same effect.
  EXPECT_EQ(Bundle.Routes[0].Timeout, config::MaxDeadline);
  EXPECT_EQ(Bundle.Routes[0].Objective, config::MaxDeadline);
  EXPECT_EQ(Bundle.Routes[0].MaxAttempts, 100U);
  EXPECT_EQ(Bundle.Routes[1].Timeout, Millis(4000));
}

TEST(PlatformTranslation, WeightsOfAnyScaleKeepTheirProportions) {
  for (const auto &[First, Second] :
       {std::pair("0.9", "0.1"), std::pair("9e12", "1e12"),
        std::pair("4.5", "0.5")}) {
    const auto Reading = readRecord(
        bundleRecord(configItem(changedConfig(
                         {{"90", First}, {"10}", Second + std::string("}")}})),
                     {})
            ->Bundle);
    ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
    const auto &Backends =
        std::get<BundleRecord>(Reading.Accepted->Body).Routes[0].Backends;
    EXPECT_NEAR(Backends[0].Weight, 9.0 * Backends[1].Weight, 9) << First;
    EXPECT_GT(Backends[1].Weight, 0U);
  }
}

TEST(PlatformTranslation, NamesNeedNotBeThoseOfRecords) {
  std::string Text = ValidConfig;
  for (std::size_t At = Text.find("h1"); At != std::string::npos;
       At = Text.find("h1", At + 1))
    Text.replace(At, 2, "lab: uploads/ñ");
  const auto Reading = readRecord(bundleRecord(configItem(Text), {})->Bundle);
  ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  const auto &Bundle = std::get<BundleRecord>(Reading.Accepted->Body);
  EXPECT_EQ(Bundle.Routes[0].Backends[0].Service.str(), "lab: uploads/ñ");
}

TEST(PlatformTranslation, AServerWithLargeValuesIsATarget) {
  std::string Text = ValidServer;
  Text.replace(Text.find("1.5"), 3, "900");
  Text.replace(Text.find("\"slots\":3"), 9, "\"slots\":50000");
  StoreItem Item = serverItem(Text);
  Item.Key = "servers/eu:7 b";
  const auto Reading = readRecord(*targetRecord(Item));
  ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  const auto &Target = std::get<TargetRecord>(Reading.Accepted->Body);
  EXPECT_EQ(Target.Spec.Id.str(), "eu:7 b");
  EXPECT_EQ(Target.Spec.Capacity.Value, 10'000U);
  EXPECT_EQ(Target.Spec.Warmup, config::MaxDeadline);
}

TEST(PlatformTranslation, OnlyPathsBelowAPrefixMatch) {
  const auto Reading =
      readRecord(bundleRecord(configItem(ValidConfig), {})->Bundle);
  RouteTable Routes;
  for (const RouteRecord &Route :
       std::get<BundleRecord>(Reading.Accepted->Body).Routes)
    Routes.add(Route);
  EXPECT_NE(Routes.find("a.example", "/x/1", "GET"), nullptr);
  EXPECT_NE(Routes.find("a.example", "/x/", "GET"), nullptr);
  EXPECT_EQ(Routes.find("a.example", "/x", "GET"), nullptr);
  EXPECT_EQ(Routes.find("a.example", "/xy/1", "GET"), nullptr);
  EXPECT_EQ(Routes.find("b.example", "/x/1", "GET"), nullptr);
}

TEST(PlatformTranslation, BoundsGiveTheRetryBudget) {
  // The platform renders its table as JSON where a flag is filled in.
  for (const char *Text :
       {"drain-s=2,retry-budget-ratio=0.2,retry-burst=56",
        R"({"drain-s":2,"retry-budget-ratio":0.2,"retry-burst":56})",
        R"({"retry-budget-ratio":"0.2","retry-burst":"56"})",
        R"(["drain-s=2","retry-budget-ratio=0.2","retry-burst=56"])"}) {
    const auto Bounds = readBounds(Text);
    ASSERT_TRUE(Bounds) << Text << Bounds.error().text();
    const auto Reading = readRecord(fleetRecord(*Bounds));
    ASSERT_TRUE(Reading.Accepted) << Text;
    const auto &Fleet = std::get<FleetRecord>(Reading.Accepted->Body);
    EXPECT_DOUBLE_EQ(Fleet.RetryBudget, 0.2) << Text;
    EXPECT_DOUBLE_EQ(Fleet.RetryBurst, 56) << Text;
  }
}

/// Fails if the quotas apply other bounds than those that the operators set.
TEST(PlatformTranslation, BoundsGiveThoseOfQuotas) {
  for (const char *Text :
       {"quota-window-s=2.5,quota-overage=0.1,quota-slack=7",
        R"({"quota-window-s":2.5,"quota-overage":0.1,"quota-slack":7})"}) {
    const auto Reading = readRecord(fleetRecord(*readBounds(Text)));
    ASSERT_TRUE(Reading.Accepted) << Text;
    const auto &Fleet = std::get<FleetRecord>(Reading.Accepted->Body);
    EXPECT_EQ(Fleet.QuotaWindow, Millis(2500)) << Text;
    EXPECT_DOUBLE_EQ(Fleet.QuotaOverage, 0.1) << Text;
    EXPECT_DOUBLE_EQ(Fleet.QuotaSlack, 7) << Text;
  }
  const auto Invalid = readBounds("quota-overage=-1");
  ASSERT_FALSE(Invalid);
  EXPECT_EQ(Invalid.error().Peer, "bounds.quota-overage");
}

TEST(PlatformTranslation, AMalformedBoundIsNamed) {
  for (const char *Text : {"retry-burst=many", R"({"retry-burst":"many"})",
                           R"({"retry-burst":null})", R"({"retry-burst":true})",
                           R"({"retry-burst":-1})", R"(["retry-burst=many"])",
                           "retry-burst=", "retry-burst=nan"}) {
    const auto Bounds = readBounds(Text);
    ASSERT_FALSE(Bounds) << Text;
    EXPECT_EQ(Bounds.error().Peer, "bounds.retry-burst") << Text;
  }
  for (const char *Text : {"retry-burst", R"({"retry-burst")", "[7]", "=5"}) {
    const auto Bounds = readBounds(Text);
    ASSERT_FALSE(Bounds) << Text;
    EXPECT_EQ(Bounds.error().Peer, "bounds") << Text;
  }
}

TEST(PlatformTranslation, TheExitPrecedesTheEndOfTheGraceTime) {
  EXPECT_EQ(shutdownLimit(*readBounds("grace-s=6")->Grace), Millis(5600));
  EXPECT_EQ(shutdownLimit(*readBounds(R"({"grace-s":10})")->Grace),
            Millis(9600));
  EXPECT_EQ(shutdownLimit(*readBounds("grace-s=0.5")->Grace), Millis(250));
  EXPECT_FALSE(readBounds("drain-s=2")->Grace);
}

/// Guards against a fleet that takes no notice of the time for revoked keys.
TEST(PlatformTranslation, BoundsGiveTheRevocationLimit) {
  const auto LimitOf = [](const char *Text) {
    const auto Reading = readRecord(fleetRecord(*readBounds(Text)));
    return std::get<FleetRecord>(Reading.Accepted->Body).RevocationLimit;
  };
  EXPECT_EQ(LimitOf(R"({"revoke-everywhere":true,"revoke-s":5})"),
            Millis(5'000));
  EXPECT_EQ(LimitOf("revoke-everywhere=true,revoke-s=2.5"), Millis(2'500));
  EXPECT_EQ(LimitOf(R"({"revoke-s":5})"), Millis(0));
  EXPECT_EQ(LimitOf(R"({"revoke-everywhere":false,"revoke-s":5})"), Millis(0));
  EXPECT_EQ(LimitOf("drain-s=2"), Millis(0));
}

TEST(PlatformTranslation, AMalformedRevocationLimitIsNamed) {
  for (const char *Text :
       {R"({"revoke-everywhere":1,"revoke-s":5})",
        R"({"revoke-everywhere":null})", "revoke-everywhere=yes,revoke-s=5"}) {
    const auto Bounds = readBounds(Text);
    ASSERT_FALSE(Bounds) << Text;
    EXPECT_EQ(Bounds.error().Peer, "bounds.revoke-everywhere") << Text;
  }
  for (const char *Text :
       {R"({"revoke-everywhere":true})",
        R"({"revoke-everywhere":true,"revoke-s":0})",
        R"({"revoke-everywhere":true,"revoke-s":1e9})", "revoke-s=soon",
        R"({"revoke-everywhere":true,"revoke-s":true})"}) {
    const auto Bounds = readBounds(Text);
    ASSERT_FALSE(Bounds) << Text;
    EXPECT_EQ(Bounds.error().Peer, "bounds.revoke-s") << Text;
  }
}

TEST(PlatformTranslation, LargeBoundsAreThoseOfRecords) {
  const auto Reading = readRecord(
      fleetRecord(*readBounds("retry-budget-ratio=1.5,retry-burst=1e12")));
  ASSERT_TRUE(Reading.Accepted);
  EXPECT_DOUBLE_EQ(std::get<FleetRecord>(Reading.Accepted->Body).RetryBudget,
                   1);
}

TEST(PlatformSettings, AChangedFileIsCheckedByField) {
  const auto Valid =
      parseReloadableSettings(R"({"seeds":["10.0.0.1:80"],"other":1})");
  ASSERT_TRUE(Valid);
  EXPECT_EQ(Valid->Seeds, std::vector<Address>{Address("10.0.0.1:80")});
  for (const char *Invalid : {"{}", R"({"seeds":["x"]})", R"({"seeds":[1]})"}) {
    const auto Parsed = parseReloadableSettings(Invalid);
    ASSERT_FALSE(Parsed) << Invalid;
    EXPECT_EQ(Parsed.error().Peer, "seeds");
  }
  EXPECT_FALSE(parseReloadableSettings("{"));
}

TEST(PlatformTranslation, ItemsAreBase64) {
  Json::Value Source(Json::objectValue);
  Source["key"] = "servers/a";
  Source["revision"] = 5;
  Source["value"] = "bm9kZS0x";
  ASSERT_TRUE(decodeItem(Source));
  EXPECT_EQ(decodeItem(Source)->Value, "node-1");
  Source["value"] = "*";
  EXPECT_FALSE(decodeItem(Source));
  Source["removed"] = true;
  EXPECT_TRUE(decodeItem(Source)->Removed);
}

} // namespace
} // namespace siskinstage::platform
