#include "core/requests/account_directory.h"
#include "core/requests/key_digest.h"
#include "node/callers/caller_request.h"
#include "node/node_context.h"
#include "node/requests/account_check.h"
#include "node/requests/forwarded_key.h"
#include "node/snapshot.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

using Poco::Net::HTTPRequest;
using Lines = std::vector<std::pair<std::string, std::string>>;

constexpr std::uint64_t WallClock = 1'700'000'000'000;

KeyRing ring(const char *Secret = "00112233445566778899aabbccddeeff") {
  return *KeyRing::parse("k:" + std::string(Secret));
}

/// A node whose configuration lists the account "blue" with the key "k-1", on
/// the routes /x and /open, of which the second is public.
class AccountCheck : public testing::Test {
protected:
  AccountCheck() {
    AccountRecord Blue;
    Blue.Name = AccountName("blue");
    Blue.KeyDigests = {digestOfKey("k-1")};
    Blue.Priority = 1;
    this->Current.AccountsByKey = *AccountDirectory::create({Blue});
    for (const char *Prefix : {"/x", "/open"}) {
      RouteRecord Route;
      Route.Name = RouteName(Prefix);
      Route.PathPrefix = Prefix;
      Route.Priority = 3;
      Route.Public = Route.PathPrefix == "/open";
      this->Current.Routes.add(Route);
    }
  }

  Snapshot Current;
  Settings Values = settings();
  NodeContext Context{Values, AddressParts{}, Incarnation{1},
                      std::make_shared<const Snapshot>()};

  static Settings settings() {
    Settings Values;
    Values.Keys = ring();
    return Values;
  }
  static CallerRequest request(const std::string &Path, const Lines &Headers) {
    HTTPRequest Head("POST", Path, HTTPRequest::HTTP_1_1);
    Head.set("Host", "a.example");
    Head.set("Content-Length", "0");
    for (const auto &[Name, Value] : Headers)
      Head.add(Name, Value);
    return *readCallerRequest(Head, RequestId("1"), Instant());
  }
  /// The status of the refusal, or 200.
  int statusOf(const CallerRequest &Request) {
    const auto Checked =
        checkClientAccount(this->Context, this->Current, Request);
    return Checked ? 200 : Checked.error().Status;
  }
  /// The headers that a target gets.
  HTTPRequest outgoing(const CallerRequest &Request) {
    HTTPRequest Head = Request.Head;
    setAccountHeaders(
        Head, *checkClientAccount(this->Context, this->Current, Request),
        DefaultDialect);
    return Head;
  }
};

// Guards against each variant of the key's header that could run a request
// without a valid key.
TEST_F(AccountCheck, EachVariantOfTheKeysHeaderHasItsStatus) {
  const std::string Name = DefaultDialect.ApiKey;
  const std::pair<Lines, int> Cases[] = {
      {{{Name, "k-1"}}, 200},
      {{{"siskinSTAGE-api-KEY", "k-1"}}, 200},
      {{}, 401},
      {{{Name, ""}}, 401},
      {{{Name, "k-2"}}, 401},
      {{{Name, "k-1,k-1"}}, 401},
      {{{Name, std::string(257, 'k')}}, 401},
      {{{Name, "k-1"}, {Name, "k-1"}}, 400},
      {{{Name, ""}, {"SISKINSTAGE-API-KEY", "k-1"}}, 400},
      {{{DefaultDialect.AccountName, "blue"}}, 401},
      {{{DefaultDialect.Account, "blue"}}, 401}};
  for (const auto &[Headers, Status] : Cases) {
    const auto Request = request("/x/1", Headers);
    EXPECT_EQ(this->statusOf(Request), Status)
        << (Headers.empty() ? "none" : Headers.back().second);
  }
}

// Guards against an error that shows the key, and against a 401 that calls a
// request with an idempotency key not run, which may have run before.
TEST_F(AccountCheck, ARefusalShowsNoKeyAndClaimsNoMoreThanIsProved) {
  const std::string Name = DefaultDialect.ApiKey;
  const auto Plain = checkClientAccount(this->Context, this->Current,
                                        request("/x", {{Name, "hunter2"}}));
  ASSERT_FALSE(Plain);
  EXPECT_EQ(Plain.error().RequestOutcome, Outcome::NotRun);
  EXPECT_EQ(refusalBody(Plain.error(), false).find("hunter2"),
            std::string::npos);
  EXPECT_EQ(this->Context.NodeMetrics.text().find("hunter2"),
            std::string::npos);
  for (const char *Path : {"/x", "/none"}) {
    const auto Resent = checkClientAccount(
        this->Context, this->Current,
        request(Path, {{Name, "k-2"}, {DefaultDialect.IdempotencyKey, "i"}}));
    ASSERT_FALSE(Resent);
    EXPECT_EQ(Resent.error().RequestOutcome, Outcome::Unknown) << Path;
  }
}

// Guards against a name chosen by the caller, or a key, that reaches a target.
TEST_F(AccountCheck, TargetsGetTheNameThatTheNodeSetsAndNoKey) {
  const Lines Forged = {{DefaultDialect.ApiKey, "k-1"},
                        {"siskinstage-ACCOUNT-name", "root"},
                        {DefaultDialect.AccountName, "admin"},
                        {header::KeyDigest, "00"},
                        {header::PeerMac, "00"}};
  for (const char *Path : {"/x", "/open"}) {
    const HTTPRequest Head = this->outgoing(request(Path, Forged));
    EXPECT_EQ(headerValues(Head, DefaultDialect.AccountName),
              std::vector<std::string>{"blue"});
    for (const std::string &Name :
         {DefaultDialect.ApiKey, std::string(header::KeyDigest),
          std::string(header::PeerMac)})
      EXPECT_FALSE(Head.has(Name)) << Name;
  }
  Lines Unknown = Forged;
  Unknown[0].second = "k-2";
  const HTTPRequest Head = this->outgoing(request("/open", Unknown));
  EXPECT_FALSE(Head.has(DefaultDialect.AccountName));
  EXPECT_FALSE(Head.has(DefaultDialect.ApiKey));
}

// Guards against changed headers in fleets without accounts.
TEST_F(AccountCheck, WithoutAccountsHeadersPassUnchanged) {
  this->Current.AccountsByKey.reset();
  const HTTPRequest Head = this->outgoing(request(
      "/x", {{DefaultDialect.ApiKey, "a"}, {DefaultDialect.AccountName, "b"}}));
  EXPECT_EQ(Head.get(DefaultDialect.ApiKey), "a");
  EXPECT_EQ(Head.get(DefaultDialect.AccountName), "b");
}

// Guards against a priority that the wait queue would not see.
TEST_F(AccountCheck, ThePriorityIsThatOfTheAccountOrElseOfTheRoute) {
  const auto Keyed =
      checkClientAccount(this->Context, this->Current,
                         request("/x", {{DefaultDialect.ApiKey, "k-1"}}));
  EXPECT_EQ(Keyed->Name.str(), "blue");
  EXPECT_EQ(Keyed->Priority, 1U);
  const auto Public =
      checkClientAccount(this->Context, this->Current, request("/open", {}));
  EXPECT_EQ(Public->Name.str(), AnonymousAccount);
  EXPECT_EQ(Public->Priority, 3U);
}

/// The head of a request that a node forwards, with the digest of "k-1".
HTTPRequest forwarded(std::uint64_t Time = WallClock) {
  HTTPRequest Head("POST", "/x/1", HTTPRequest::HTTP_1_1);
  Head.set("Host", "a.example");
  Head.set(DefaultDialect.ApiKey, "k-1");
  Head.set(DefaultDialect.IdempotencyKey, "prefix.1");
  replaceKeyByDigest(Head, digestOfKey("k-1"), DefaultDialect, ring(), Time);
  return Head;
}

// Guards against a key that is sent to a peer, and against a peer that does not
// know the account of a forwarded request.
TEST(ForwardedKey, APeerGetsASignedDigestAndNoKey) {
  const HTTPRequest Head = forwarded();
  EXPECT_EQ(headText(Head).find("k-1"), std::string::npos);
  EXPECT_EQ(forwardedDigest(Head, DefaultDialect, ring(), WallClock),
            digestOfKey("k-1"));
}

// Guards against a caller that uses a digest, or a signature seen elsewhere, as
// a key.
TEST(ForwardedKey, ADigestThatNoNodeSignedForThisRequestIsNone) {
  const auto DigestIn = [](const HTTPRequest &Head) {
    return forwardedDigest(Head, DefaultDialect, ring(), WallClock);
  };
  const std::pair<std::string, std::string> Changes[] = {
      {"Host", "b.example"},
      {DefaultDialect.IdempotencyKey, "prefix.2"},
      {header::KeyDigest, digestText(digestOfKey("k-2"))},
      {header::PeerTime, std::to_string(WallClock + 1)},
      {header::PeerMac, "00"}};
  for (const auto &[Name, Value] : Changes) {
    HTTPRequest Head = forwarded();
    Head.set(Name, Value);
    EXPECT_FALSE(DigestIn(Head)) << Name;
  }
  HTTPRequest Head = forwarded();
  Head.setURI("/y/1");
  EXPECT_FALSE(DigestIn(Head));
  Head = forwarded();
  Head.add(header::KeyDigest, digestText(digestOfKey("k-2")));
  EXPECT_FALSE(DigestIn(Head));
  EXPECT_FALSE(DigestIn(forwarded(WallClock - 3'600'000)));
  EXPECT_FALSE(forwardedDigest(forwarded(), DefaultDialect,
                               ring("ff112233445566778899aabbccddeeff"),
                               WallClock));
}

} // namespace
} // namespace siskinstage
