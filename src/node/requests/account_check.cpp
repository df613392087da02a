#include "node/requests/account_check.h"
#include "core/requests/account_directory.h"
#include "core/requests/admission.h"
#include "core/requests/key_digest.h"
#include "net/wall_clock.h"
#include "node/callers/caller_request.h"
#include "node/node_context.h"
#include "node/requests/forwarded_key.h"
#include "node/snapshot.h"

namespace siskinstage {

namespace {

constexpr int NotFound = 404;

/// How a result of the check is counted and answered.
struct Answer {
  const char *Result;       ///< Of the metric.
  int Status = 0;           ///< Zero if the request is admitted.
  const char *Problem = ""; ///< With the header's name before it.
};

constexpr Answer RepeatedKey = {"repeated-key", 400,
                                " stands there more than once"};

struct AnswerVisitor {
  Answer operator()(const Admitted &Accepted) const {
    return {Accepted.Account == nullptr ? "public-route" : "known-key"};
  }
  Answer operator()(const MissingKey &) const {
    return {"missing-key", 401, " is missing or empty"};
  }
  Answer operator()(const UnknownKey &) const {
    return {"unknown-key", 401, " holds a key that no account has"};
  }
};

/// The refusal of a request whose API key does not admit it. An idempotency key
/// may belong to an earlier request that ran, so that its outcome is unknown.
tl::unexpected<Refusal> refuse(const CallerRequest &Request, int Status,
                               Step FailedStep, std::string Reason) {
  return tl::unexpected<Refusal>(
      Refusal{Status,
              Request.Key ? Outcome::Unknown : Outcome::NotRun,
              {FailedStep, "caller", std::move(Reason)},
              std::nullopt});
}

/// The digest of the key of \p Request, or the one that the node which has
/// forwarded it states.
std::optional<KeyDigest> presentedDigest(const NodeContext &Context,
                                         const CallerRequest &Request) {
  const Dialect &Headers = Context.NodeSettings.HeaderDialect;
  const auto Keys = headerValues(Request.Head, Headers.ApiKey);
  if (Keys.empty() && Request.Hops > 0)
    return forwardedDigest(Request.Head, Headers, *Context.NodeSettings.Keys,
                           wallClockMs());
  const bool Usable = Keys.size() == 1 && !Keys.front().empty() &&
                      Keys.front().size() <= MaxApiKeyBytes;
  return Usable ? std::optional<KeyDigest>(digestOfKey(Keys.front()))
                : std::nullopt;
}

AccountDecision decide(const AccountDirectory *Directory,
                       const RouteRecord &Route, const std::string &Key,
                       const std::optional<KeyDigest> &Digest) {
  return Key.size() > MaxApiKeyBytes ? checkAccount(Directory, Route, Key)
                                     : checkAccount(Directory, Route, Digest);
}

} // namespace

tl::expected<ClientAccount, Refusal>
checkClientAccount(NodeContext &Context, const Snapshot &Current,
                   const CallerRequest &Request) {
  const std::string &Header = Context.NodeSettings.HeaderDialect.ApiKey;
  const AccountDirectory *Directory = Current.AccountsByKey.get();
  ClientAccount Client;
  Client.Name = Request.Account;
  Client.KeysRequired = Directory != nullptr;
  // Without accounts, only a forward to the owner of an idempotency key needs
  // the digest: that node may have a newer configuration.
  if (Client.KeysRequired || Request.Key)
    Client.Digest = presentedDigest(Context, Request);
  const RouteRecord *Route =
      Current.Routes.find(Request.Host, Request.Path, Request.Head.getMethod());
  // The response kept for an idempotency key may be that of an account.
  if (Route == nullptr && Client.KeysRequired && Request.Key)
    return refuse(Request, NotFound, Step::Route,
                  "no route matches host, path and method");
  if (Route == nullptr)
    return Client;
  Client.Priority = Route->Priority;
  Client.PublicRoute = Route->Public;
  if (!Client.KeysRequired)
    return Client;
  Client.Name = AccountName(AnonymousAccount);
  const auto Decision =
      decide(Directory, *Route, Request.Head.get(Header, ""), Client.Digest);
  if (const auto *Accepted = std::get_if<Admitted>(&Decision))
    if (Accepted->Account != nullptr) {
      Client.Name = Accepted->Account->Name;
      Client.Known = true;
      Client.Quota = {Accepted->Account->RatePerSecond,
                      Accepted->Account->Burst};
      Client.Priority = effectivePriority(Accepted->Account, *Route);
    }
  const bool Repeated = headerValues(Request.Head, Header).size() > 1;
  const Answer Given =
      Repeated ? RepeatedKey : std::visit(AnswerVisitor(), Decision);
  Context.NodeMetrics.countAccountCheck(Given.Result, Client.Priority);
  if (Given.Status != 0)
    return refuse(Request, Given.Status, Step::Account,
                  "header " + Header + Given.Problem);
  return Client;
}

void setAccountHeaders(Poco::Net::HTTPRequest &Head,
                       const ClientAccount &Client,
                       const Dialect &HeaderDialect) {
  dropForwardedDigest(Head);
  if (!Client.KeysRequired)
    return;
  Head.erase(HeaderDialect.ApiKey);
  Head.erase(HeaderDialect.AccountName);
  if (Client.Known)
    Head.set(HeaderDialect.AccountName, Client.Name.str());
}

} // namespace siskinstage
