#ifndef SISKINSTAGE_CORE_REQUESTS_QUOTA_SHARES_H
#define SISKINSTAGE_CORE_REQUESTS_QUOTA_SHARES_H

#include "core/requests/quota_message.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace siskinstage {

/// The nodes that share all quotas, and this node's own claim: an equal part.
/// The load it addresses: entry nodes are cut off, frozen, restarted, added or
/// killed, any number at once, while their callers go on.
///
/// The claims of all nodes stay within the whole since
/// - a node divides by the largest number of claimants that it or a node in
///   contact counts;
/// - a new claimant has no claim until all others have counted it, and it asks
///   them to only once all respond: else it would lower their claims in vain;
/// - a claim ends without contact with half of the claimants, by request and
///   response, measured from when the request was sent;
/// - only a node in contact with more than half forgets a silent one, after the
///   time in which the claim and the loans of that one have ended.
class QuotaShares {
public:
  QuotaShares(Address Self, Instant Started);

  /// \param Entries nodes to which callers are steered, in this node's view.
  /// \param Complete whether the view has most nodes of the fleet.
  void setEntries(const std::vector<Address> &Entries, bool Complete,
                  Instant Now);
  /// \param Live nodes that the list of instances has as live. If it has any, a
  ///        silent claimant that it lacks is forgotten without a majority.
  void setListed(std::set<Address> Live);
  /// Another node has asked as a claimant.
  void noteClaimant(const Address &Node, Instant Now);
  /// Another node has given up its claim and lends nothing.
  void noteWithdrawn(const Address &Node, Instant Now);
  /// Sets whether this node has requests or loans of any account. If not, it
  /// gives up its claim as soon as it is no entry.
  void setInUse(bool New) { this->InUse = New; }
  /// Another node has responded to a request of this process.
  void noteResponse(const Address &Node, Instant SentAt,
                    const QuotaResponse &Response, Instant Now);
  void update(Instant Now);

  /// This node's own claim, for each account.
  [[nodiscard]] QuotaParts claim() const { return this->Claim; }
  [[nodiscard]] Instant claimSince() const { return this->ActiveSince; }
  /// When it ends without further contacts.
  [[nodiscard]] Instant claimUntil() const { return this->ClaimUntil; }
  /// Whether the other nodes shall count this one.
  [[nodiscard]] bool claims() const {
    return this->State == Phase::Claiming || this->State == Phase::Active;
  }
  /// Whether this node wants a claim and has none yet.
  [[nodiscard]] bool waits() const {
    return this->State == Phase::Asking || this->State == Phase::Claiming;
  }
  [[nodiscard]] Duration wantedFor(Instant Now) const;
  [[nodiscard]] std::uint32_t countedNodes() const;
  [[nodiscard]] bool knewBefore(const Address &Node, Duration WantedFor,
                                Instant Now) const;
  /// Whether \p Node must be asked to keep or get the claim.
  [[nodiscard]] bool mustContact(const Address &Node, Instant LastSent,
                                 Instant Now) const;
  /// The other nodes that have a claim or may want one.
  [[nodiscard]] std::vector<Address> others() const;
  /// Those of them that may lend.
  [[nodiscard]] std::vector<Address> lenders() const;
  [[nodiscard]] Duration loanTime() const;

private:
  /// How far this node is on the way to a claim.
  enum class Phase {
    None,     ///< It is no entry.
    Asking,   ///< It finds out who else has a claim.
    Claiming, ///< It asks the others to count it.
    Active
  };
  /// Another node that has a claim or may want one.
  struct Other {
    bool IsEntry = false;
    bool Counted = false; ///< It has asked as a claimant.
    Instant FirstCounted;
    Instant LastSeen; ///< As an entry, or when it asked as a claimant.
    std::optional<Instant>
        Contact;             ///< When the last answered request was sent.
    std::uint32_t Nodes = 0; ///< Claimants that it counts.
  };

  Address Self;
  Instant Started;
  bool Complete = false;
  bool InUse = false;
  bool IsEntry = false;
  std::optional<Instant> EntryAt; ///< When this node was last an entry.
  std::map<Address, Other> Others;
  std::set<Address> Listed;
  Phase State = Phase::None;
  Instant Joined; ///< Since when it wants a claim.
  Instant ClaimingSince;
  bool KnownBefore = false; ///< Another node counted this one before Joined.
  Instant ActiveSince;
  QuotaParts Claim = 0;
  Instant ClaimUntil;

  [[nodiscard]] Duration contactPeriod() const;
  [[nodiscard]] bool inContact(const Other &Node, Instant Now) const;
  /// This node and the claimants that it is in contact with.
  [[nodiscard]] std::size_t contacts(Instant Now) const;
  /// The largest number of claimants that this node or one in contact counts.
  [[nodiscard]] std::size_t divisor(Instant Now) const;
  /// Number of other nodes that have answered a request sent since \p Time.
  [[nodiscard]] std::size_t answeredSince(Instant Time) const;
  [[nodiscard]] bool mayClaim(std::size_t Nodes, Instant Now) const;
  [[nodiscard]] bool mayActivate(std::size_t Nodes, Instant Now) const;
  void forgetSilent(Instant Now);
  void join(Instant Now);
  /// Moves to the next phase when its conditions hold.
  void advance(std::size_t Nodes, Instant Now);
  [[nodiscard]] Instant contactEnd(std::size_t Nodes, Instant Now) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_QUOTA_SHARES_H
