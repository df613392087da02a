#include "node/requests/account_check.h"
#include "core/requests/account_directory.h"
#include "core/requests/admission.h"
#include "core/requests/key_digest.h"
#include "node/callers/caller_request.h"
#include "node/node_context.h"
#include "node/snapshot.h"

namespace siskinstage {

namespace {

/// Result of the check, as the metric and the log line name it.
constexpr const char *NoAccounts = "no-accounts";
constexpr const char *KnownKey = "known-key";
constexpr const char *PublicRoute = "public-route";
constexpr const char *MissingKeyText = "missing-key";
constexpr const char *UnknownKeyText = "unknown-key";
constexpr const char *RepeatedKey = "repeated-key";

constexpr int Unauthorized = 401;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;

/// The refusal of a request whose API key does not admit it. An idempotency key
/// may belong to an earlier request that ran, so that its outcome is unknown.
Refusal refusal(const CallerRequest &Request, int Status, std::string Reason) {
  return {Status,
          Request.Key ? Outcome::Unknown : Outcome::NotRun,
          {Step::Account, "caller", std::move(Reason)},
          std::nullopt};
}

} // namespace

tl::expected<ClientAccount, Refusal>
checkClientAccount(NodeContext &Context, const Snapshot &Current,
                   const CallerRequest &Request) {
  const Dialect &Headers = Context.NodeSettings.HeaderDialect;
  const AccountDirectory *Directory = Current.AccountsByKey.get();
  ClientAccount Client;
  Client.Name = Request.Account;
  Client.KeysRequired = Directory != nullptr;
  const RouteRecord *Route =
      Current.Routes.find(Request.Host, Request.Path, Request.Head.getMethod());
  if (Route == nullptr && Directory != nullptr && Request.Key)
    // The response kept for the idempotency key may be that of an account.
    return tl::unexpected<Refusal>(
        refusal(Request, NotFound, "no route matches host, path and method"));
  if (Route == nullptr)
    return Client;
  Client.Priority = Route->Priority;
  Client.PublicRoute = Route->Public;
  const auto Count = [&](const char *Result) {
    Context.NodeMetrics.countAccountCheck(Result, Client.Priority);
  };
  if (Directory == nullptr) {
    Count(NoAccounts);
    return Client;
  }
  Client.Name = AccountName(AnonymousAccount);
  const auto Keys = headerValues(Request.Head, Headers.ApiKey);
  if (Keys.size() > 1) {
    Count(RepeatedKey);
    return tl::unexpected<Refusal>(
        refusal(Request, BadRequest,
                "header " + Headers.ApiKey + " stands there more than once"));
  }
  const std::string Key = Keys.empty() ? std::string() : Keys.front();
  const auto Decision = checkAccount(Directory, *Route, Key);
  if (std::holds_alternative<MissingKey>(Decision)) {
    Count(MissingKeyText);
    return tl::unexpected<Refusal>(
        refusal(Request, Unauthorized,
                "header " + Headers.ApiKey + " is missing or empty"));
  }
  if (std::holds_alternative<UnknownKey>(Decision)) {
    Count(UnknownKeyText);
    return tl::unexpected<Refusal>(
        refusal(Request, Unauthorized,
                "no account has the key in header " + Headers.ApiKey));
  }
  const AccountRecord *Account = std::get<Admitted>(Decision).Account;
  if (Account != nullptr) {
    Client.Name = Account->Name;
    Client.Digest = digestOfKey(Key);
    Client.Priority = effectivePriority(Account, *Route);
  }
  Count(Account == nullptr ? PublicRoute : KnownKey);
  return Client;
}

void setAccountHeaders(Poco::Net::HTTPRequest &Head,
                       const ClientAccount &Client,
                       const Dialect &HeaderDialect) {
  if (!Client.KeysRequired)
    return;
  Head.erase(HeaderDialect.ApiKey);
  Head.erase(HeaderDialect.AccountName);
  if (Client.Digest)
    Head.set(HeaderDialect.AccountName, Client.Name.str());
}

} // namespace siskinstage
