#include "node/requests/revocation_check.h"
#include "core/requests/account_directory.h"
#include "net/boot_time.h"
#include "node/callers/caller_request.h"
#include "node/node_context.h"
#include "node/requests/account_check.h"
#include "node/snapshot.h"

namespace siskinstage {

namespace {

constexpr int Unauthorized = 401;
constexpr int Unavailable = 503;

/// Result of the check, as the metric names it.
constexpr const char *RevokedKey = "revoked-key";
constexpr const char *UnconfirmedView = "unconfirmed-view";
constexpr const char *OldView = "old-view";

Refusal revokedKey() {
  return {Unauthorized,
          Outcome::NotRun,
          {Step::Account, "caller", "the API key was revoked"},
          std::nullopt};
}

Refusal oldView(const NodeId &Node, std::optional<Duration> Age) {
  const std::string Reason =
      Age ? "the configuration was last confirmed " +
                std::to_string(
                    std::chrono::duration_cast<Millis>(*Age).count()) +
                " ms ago"
          : "the configuration is not confirmed yet";
  return {Unavailable,
          Outcome::NotRun,
          {Step::Account, Node.str(), Reason},
          randomRetryAfter(),
          true};
}

} // namespace

std::optional<Refusal> checkRevocation(NodeContext &Context,
                                       ClientAccount &Client) {
  if (!Client.Known || !Client.Digest)
    return std::nullopt;
  // The view is read before the snapshot, which is then at least as new as the
  // view confirms.
  const ConfirmedView View = Context.ConfigView.get();
  const Instant Now = bootNow();
  const auto Newest = Context.Snapshots.get();
  if (!Newest->AccountsByKey)
    return std::nullopt;
  const bool Known = Newest->AccountsByKey->find(*Client.Digest) != nullptr;
  const bool Young = !Newest->limitsRevocation() ||
                     View.mayServeKeyed(Now, Newest->Fleet.RevocationLimit);
  if (Known && Young)
    return std::nullopt;
  const auto Age = View.age(Now);
  const char *Result = Age ? OldView : UnconfirmedView;
  Context.NodeMetrics.countAccountCheck(Known ? Result : RevokedKey,
                                        Client.Priority);
  if (Client.PublicRoute) {
    Client.Known = false;
    Client.Name = AccountName(AnonymousAccount);
    return std::nullopt;
  }
  return Known ? oldView(Context.NodeSettings.Id, Age) : revokedKey();
}

} // namespace siskinstage
