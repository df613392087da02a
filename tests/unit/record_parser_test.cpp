#include "core/records/record_parser.h"
#include "core/records/record_store.h"
#include "core/requests/route_table.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

RecordReading read(const std::string &Text) {
  const auto Values = parseRecords(Text, "test");
  EXPECT_TRUE(Values) << (Values ? "" : Values.error().text());
  return Values ? readRecord(Values->front()) : RecordReading{};
}

/// The paths of all faults, each followed by ";".
std::string faultPaths(const std::string &Text) {
  std::string Paths;
  for (const FieldFault &Fault : read(Text).Faults)
    Paths += Fault.Path + ";";
  return Paths;
}

TEST(RecordParser, UpgradesSchema1) {
  const auto Service = read(R"({"schema":1,"kind":"service","name":"s",
      "revision":4,"targets":["10.0.0.1:80"]})");
  ASSERT_TRUE(Service.Accepted);
  const auto &Body = std::get<ServiceRecord>(Service.Accepted->Body);
  EXPECT_EQ(Body.Targets.front().Id.str(), "10.0.0.1:80");
  EXPECT_EQ(Body.Detection, DetectionPreference::Careful);

  const auto Account = read(R"({"schema":1,"kind":"account","name":"a",
      "revision":1,"rate_per_minute":120})");
  ASSERT_TRUE(Account.Accepted);
  EXPECT_DOUBLE_EQ(
      std::get<AccountRecord>(Account.Accepted->Body).RatePerSecond, 2.0);
}

TEST(RecordParser, NamesEveryFaultOfARecord) {
  EXPECT_EQ(faultPaths(R"({"schema":2,"kind":"service","name":"a b",
      "revision":0,"slots":0,"floor":1.5,"detection":"quick",
      "targets":[{"id":"x","address":"host:80"},{"id":"x",
      "address":"10.0.0.1:80"}]})"),
            "name;revision;targets[0].address;targets[1].id;slots;floor;"
            "detection;");
  EXPECT_EQ(faultPaths(R"({"schema":3,"kind":"service"})"), "schema;");
  EXPECT_EQ(faultPaths(R"({"schema":2,"kind":"route","name":"r","revision":1,
      "path_prefix":"x","service":"s","methods":["get"]})"),
            "path_prefix;methods;");
}

TEST(RecordParser, SaysWhatStoodThereAndWhatIsAllowed) {
  const auto Reading = read(R"({"schema":2,"kind":"account","name":"a",
      "revision":1,"concurrency":"many"})");
  ASSERT_EQ(Reading.Faults.size(), 1U);
  EXPECT_EQ(Reading.Faults[0].text(),
            "field concurrency: found \"many\", allowed is a whole number from "
            "0 to 1000000");
}

TEST(RecordParser, WarnsOfUnknownFields) {
  const auto Reading = read(R"({"schema":2,"kind":"account","name":"a",
      "revision":1,"colour":"red"})");
  EXPECT_TRUE(Reading.Accepted);
  ASSERT_EQ(Reading.Warnings.size(), 1U);
  EXPECT_EQ(Reading.Warnings[0], "unknown field colour");
}

TEST(RecordParser, RefusesWhatIsNoJson) {
  EXPECT_FALSE(parseRecords("{\"a\":", "f"));
  EXPECT_FALSE(parseRecords("{} x", "f"));
  EXPECT_FALSE(parseRecords("{\"a\":1,\"a\":2}", "f"));
  EXPECT_FALSE(parseRecords(std::string(100, '['), "f"));
}

TEST(RecordStore, KeepsATombstoneAgainstOlderCopies) {
  RecordStore Store;
  const RecordKey Key{RecordKind::Account, "a"};
  EXPECT_EQ(Store.adopt({Key, {2}, AccountRecord{}}),
            RecordStore::Adoption::Adopted);
  EXPECT_EQ(Store.adopt({Key, {3}, Tombstone{}}),
            RecordStore::Adoption::Adopted);
  EXPECT_EQ(Store.adopt({Key, {2}, AccountRecord{}}),
            RecordStore::Adoption::Older);
  EXPECT_TRUE(std::holds_alternative<Tombstone>(Store.find(Key)->Body));
}

RouteRecord route(const std::string &Name, const std::string &Host,
                  const std::string &Prefix,
                  const std::vector<std::string> &Methods) {
  RouteRecord Route;
  Route.Name = RouteName(Name);
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  Route.Methods = Methods;
  return Route;
}

TEST(RouteTable, PrefersHostThenPrefixThenMethod) {
  RouteTable Table;
  Table.add(route("root", "", "/", {}));
  Table.add(route("a", "", "/a", {}));
  Table.add(route("a-get", "", "/a/", {"GET"}));
  Table.add(route("host", "h", "/a/b", {}));
  const auto Find = [&](const char *Host, const char *Path,
                        const char *Method) {
    const RouteRecord *Found = Table.find(Host, Path, Method);
    return Found == nullptr ? "none" : Found->Name.str();
  };
  EXPECT_EQ(Find("x", "/a/b/c", "GET"), "a-get");
  EXPECT_EQ(Find("x", "/a", "PUT"), "a");
  EXPECT_EQ(Find("h", "/a/b/", "PUT"), "host");
  EXPECT_EQ(Find("h", "/a/c", "PUT"), "a");
  EXPECT_EQ(Find("x", "/ab", "GET"), "root");
}

TEST(RouteTable, CopiesStayAsTheyWere) {
  RouteTable Table;
  Table.add(route("a", "", "/a", {}));
  const RouteTable Before = Table;
  Table.remove(route("a", "", "/a", {}));
  Table.add(route("b", "", "/b", {}));
  EXPECT_NE(Before.find("", "/a", "GET"), nullptr);
  EXPECT_EQ(Before.find("", "/b", "GET"), nullptr);
  EXPECT_EQ(Table.find("", "/a", "GET"), nullptr);
  EXPECT_EQ(Table.size(), 1U);
}

} // namespace
} // namespace siskinstage
