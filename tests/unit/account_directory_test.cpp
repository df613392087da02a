#include "core/records/record_parser.h"
#include "core/requests/account_directory.h"
#include "core/requests/admission.h"
#include "core/requests/key_digest.h"
#include "siskinstage/route_record.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

AccountRecord account(const std::string &Name,
                      const std::vector<std::string> &Keys) {
  AccountRecord Account;
  Account.Name = AccountName(Name);
  for (const std::string &Key : Keys)
    Account.KeyDigests.push_back(digestOfKey(Key));
  return Account;
}

std::shared_ptr<const AccountDirectory> directory() {
  std::vector<AccountRecord> Accounts = {account("blue", {"k-1", "k-2"}),
                                         account("red", {"k-3"})};
  Accounts[1].Priority = 0;
  return *AccountDirectory::create(std::move(Accounts));
}

// Guards against digests that differ from those of other tools.
TEST(KeyDigest, IsTheFirstHalfOfSha256) {
  EXPECT_EQ(digestText(digestOfKey("abc")), "ba7816bf8f01cfea414140de5dae2223");
  EXPECT_EQ(parseDigest("BA7816BF8F01CFEA414140DE5DAE2223"),
            digestOfKey("abc"));
  EXPECT_FALSE(parseDigest("ba78"));
  EXPECT_FALSE(parseDigest("zz7816bf8f01cfea414140de5dae2223"));
}

// Guards against a key that is found in part or for another account.
TEST(AccountDirectory, FindsEachAccountByEachOfItsKeysOnly) {
  const auto Accounts = directory();
  EXPECT_EQ(Accounts->find("k-1")->Name.str(), "blue");
  EXPECT_EQ(Accounts->find("k-2")->Name.str(), "blue");
  EXPECT_EQ(Accounts->find("k-3")->Name.str(), "red");
  for (const char *Other : {"", "k", "k-11", "K-1", "blue", " k-1"})
    EXPECT_EQ(Accounts->find(Other), nullptr) << Other;
}

// Guards against one key for two accounts, of which one would get the requests
// of the other.
TEST(AccountDirectory, NamesTheFieldOfAKeyHeldTwice) {
  const auto Twice =
      AccountDirectory::create({account("a", {"x"}), account("b", {"y", "x"})});
  ASSERT_FALSE(Twice);
  EXPECT_EQ(Twice.error().Peer, "accounts[1].key_digests[1]");
}

// Guards against requests that run without a key of an account.
TEST(Admission, OnlyAKnownKeyAdmitsToARouteThatIsNotPublic) {
  const auto Accounts = directory();
  const RouteRecord Route;
  const std::string Oversized(MaxApiKeyBytes + 1, 'k');
  EXPECT_TRUE(std::holds_alternative<MissingKey>(
      checkAccount(Accounts.get(), Route, "")));
  for (const std::string &Key : {std::string("k-9"), Oversized})
    EXPECT_TRUE(std::holds_alternative<UnknownKey>(
        checkAccount(Accounts.get(), Route, Key)));
  const auto Known = checkAccount(Accounts.get(), Route, "k-3");
  ASSERT_TRUE(std::holds_alternative<Admitted>(Known));
  EXPECT_EQ(std::get<Admitted>(Known).Account->Name.str(), "red");
}

// Guards against a key that is cut to the longest length before it is looked
// up, which would admit longer ones.
TEST(Admission, AKeyOfTheLongestLengthIsKnownAndALongerOneIsNot) {
  const std::string Longest(MaxApiKeyBytes, 'k');
  const auto Accounts = *AccountDirectory::create({account("a", {Longest})});
  const RouteRecord Route;
  EXPECT_TRUE(std::holds_alternative<Admitted>(
      checkAccount(Accounts.get(), Route, Longest)));
  EXPECT_TRUE(std::holds_alternative<UnknownKey>(
      checkAccount(Accounts.get(), Route, Longest + "k")));
}

// Guards against a public route, or a fleet without accounts, that asks for a
// key.
TEST(Admission, PublicRoutesAndFleetsWithoutAccountsNeedNoKey) {
  const auto Accounts = directory();
  RouteRecord Public;
  Public.Public = true;
  const std::string Oversized(MaxApiKeyBytes + 1, 'k');
  for (const std::string &Key :
       {std::string(), std::string("k-9"), Oversized}) {
    const auto Decision = checkAccount(Accounts.get(), Public, Key);
    ASSERT_TRUE(std::holds_alternative<Admitted>(Decision));
    EXPECT_EQ(std::get<Admitted>(Decision).Account, nullptr);
  }
  EXPECT_EQ(std::get<Admitted>(checkAccount(Accounts.get(), Public, "k-1"))
                .Account->Name.str(),
            "blue");
  EXPECT_EQ(
      std::get<Admitted>(checkAccount(nullptr, RouteRecord(), "k-1")).Account,
      nullptr);
}

// Guards against a route's priority that precedes that of the account.
TEST(Admission, ThePriorityOfTheAccountPrecedesThatOfTheRoute) {
  const auto Accounts = directory();
  RouteRecord Route;
  Route.Priority = 2;
  EXPECT_EQ(effectivePriority(nullptr, Route), 2U);
  EXPECT_EQ(effectivePriority(Accounts->find("k-1"), Route), 2U);
  EXPECT_EQ(effectivePriority(Accounts->find("k-3"), Route), 0U);
}

/// A bundle record with the field "accounts" \p Accounts.
RecordReading readBundleWith(const std::string &Accounts) {
  return readRecord(
      parseRecords(R"({"schema":2,"kind":"bundle","name":"b","revision":1,
                       "routes":[{"name":"r","path_prefix":"/","service":"s",
                                  "public":true}],
                       "services":[],"accounts":)" +
                       Accounts + "}",
                   "test")
          ->front());
}

constexpr const char *Digest = "ba7816bf8f01cfea414140de5dae2223";

// Guards against limits that are lost between record and directory.
TEST(AccountRecords, ABundleHasAccountsWithDigestsAndLimits) {
  const auto Reading =
      readBundleWith(R"([{"name":"a","key_digests":[")" + std::string(Digest) +
                     R"("],"priority":3,"rate_per_s":2.5,
                                          "burst":7},
                                         {"name":"b","key_digests":[]}])");
  ASSERT_TRUE(Reading.Accepted) << Reading.Faults.front().text();
  EXPECT_TRUE(Reading.Warnings.empty());
  const auto &Bundle = std::get<BundleRecord>(Reading.Accepted->Body);
  EXPECT_TRUE(Bundle.Routes.front().Public);
  const AccountRecord *Found = Bundle.Accounts->find("abc");
  ASSERT_NE(Found, nullptr);
  EXPECT_EQ(Found->Name.str(), "a");
  EXPECT_EQ(Found->Priority, 3U);
  EXPECT_DOUBLE_EQ(Found->RatePerSecond, 2.5);
  EXPECT_DOUBLE_EQ(Found->Burst, 7);
  EXPECT_FALSE(Bundle.Accounts->accounts()[1].Priority);
}

// Guards against a fleet that closes because of an empty list.
TEST(AccountRecords, AnEmptyListOfAccountsIsNone) {
  const auto Reading = readBundleWith("[]");
  ASSERT_TRUE(Reading.Accepted);
  EXPECT_EQ(std::get<BundleRecord>(Reading.Accepted->Body).Accounts, nullptr);
}

// Guards against a key that stands in a record by mistake and is then shown in
// an error.
TEST(AccountRecords, AFaultNamesTheFieldAndShowsNoKey) {
  const std::string Two =
      R"([{"name":"a","key_digests":[")" + std::string(Digest) +
      R"("]},{"name":"b","key_digests":[")" + Digest + "\"]}]";
  const std::pair<std::string, std::string> Cases[] = {
      {R"([{"name":"a","key_digests":["hunter2"]}])",
       "accounts[0].key_digests[0]"},
      {R"([{"name":"a","key_digests":[7]}])", "accounts[0].key_digests[0]"},
      {R"([{"name":"a","key_digests":"hunter2"}])", "accounts[0].key_digests"},
      {R"(["hunter2"])", "accounts[0]"},
      {R"([{"name":"a"}])", "accounts[0].key_digests"},
      {R"([{"name":"","key_digests":[]}])", "accounts[0].name"},
      {R"([{"name":"a","key_digests":[]},{"name":"a","key_digests":[]}])",
       "accounts[1].name"},
      {R"([{"name":"a","key_digests":[],"rate_per_s":-1}])",
       "accounts[0].rate_per_s"},
      {R"([{"name":"a","key_digests":[],"burst":"x"}])", "accounts[0].burst"},
      {Two, "accounts[1].key_digests[0]"}};
  for (const auto &[Accounts, Field] : Cases) {
    const auto Reading = readBundleWith(Accounts);
    ASSERT_FALSE(Reading.Accepted) << Accounts;
    EXPECT_EQ(Reading.Faults.front().Path, Field);
    for (const FieldFault &Fault : Reading.Faults)
      EXPECT_EQ(Fault.text().find("hunter2"), std::string::npos)
          << Fault.text();
  }
}

} // namespace
} // namespace siskinstage
