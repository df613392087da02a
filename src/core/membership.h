#ifndef SISKINSTAGE_CORE_MEMBERSHIP_H
#define SISKINSTAGE_CORE_MEMBERSHIP_H

#include "core/gossip_message.h"
#include "core/random.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace siskinstage {

/// Who belongs to the fleet, after SWIM: each period a member is pinged in
/// randomised turn, others ask it on this node's behalf when it keeps silent,
/// and only a suspicion that nobody refutes in time makes it dead. After
/// Lifeguard, a suspicion ends sooner the more members confirm it, and a node
/// that is slow itself is slower to suspect.
class Membership {
public:
  struct Stats {
    std::size_t Alive = 0;
    std::size_t Suspect = 0;
    std::size_t Dead = 0;
    std::uint64_t Suspicions = 0;  ///< Begun by this node.
    std::uint64_t Refutations = 0; ///< Of claims about this node.
    int Slowness = 0;              ///< How slow this node holds itself to be.
    std::size_t QueuedUpdates = 0; ///< Updates about members still to be sent.
  };

  Membership(Member Self, std::uint64_t Seed);

  /// Addresses to try when few members are known.
  void setSeeds(std::vector<Address> Seeds);
  /// Whether this node can read the platform; the others hear of a change.
  void setPlatformUnreachable(bool Unreachable);
  /// Lets time pass. \returns the messages that are due.
  std::vector<OutgoingGossip> tick(Instant Now);
  /// Takes in a message. \returns the answers.
  std::vector<OutgoingGossip> receive(const GossipMessage &Message,
                                      Instant Now);
  /// Takes over what another node knows of the members. What a table tells is
  /// not passed on: the others ask for tables, too.
  /// \returns how many live members were new.
  std::size_t merge(const std::vector<Member> &Known, Instant Now);
  /// Says that this node leaves. \returns the farewell messages.
  std::vector<OutgoingGossip> leave(Instant Now);

  /// All known members but this node, dead and left ones for a time too.
  [[nodiscard]] std::vector<Member> members() const;
  /// This node and all members that are alive or suspect.
  [[nodiscard]] std::vector<Member> live() const;
  [[nodiscard]] const Member &self() const { return this->Self; }
  /// Same at two nodes that know the same live members.
  [[nodiscard]] std::uint64_t digest() const { return this->Digest; }
  /// Goes up with every change of the live members.
  [[nodiscard]] std::uint64_t version() const { return this->Version; }
  /// Goes up when a member becomes suspect, or no longer is.
  [[nodiscard]] std::uint64_t suspectVersion() const {
    return this->SuspectVersion;
  }
  [[nodiscard]] Stats stats() const;
  /// \p Count live members drawn at random, without this node.
  std::vector<Address> sample(std::size_t Count);
  /// A message of this node with \p Body and news of members.
  GossipMessage compose(GossipBody Body);

private:
  /// What is known of one member.
  struct Known {
    Member Is;
    Instant Since; ///< Of the present state.
    Instant SuspectUntil;
    std::set<Address> Confirmed; ///< Who else suspects it.
  };
  /// News that is passed on a bounded number of times.
  struct News {
    Member About;
    int Sent = 0;
  };
  /// A ping that waits for its ack.
  struct Probe {
    Address Target;
    std::uint64_t Sequence = 0;
    Instant Sent;
    bool Indirect = false; ///< Others were asked already.
  };
  /// A ping sent for another member.
  struct Relay {
    Address Asker;
    std::uint64_t Sequence = 0;
    Instant Sent;
  };

  Member Self;
  Random Dice;
  std::vector<Address> Seeds;
  std::unordered_map<Address, Known> Table;
  std::map<Address, News> Queue;
  std::vector<Address> Turn;     ///< Members still to be pinged in this round.
  std::vector<Address> NearTurn; ///< The same within the own failure domain.
  std::uint64_t Periods = 0;
  std::optional<Probe> Pending;
  std::map<std::uint64_t, Relay> Relays;
  Instant NextPeriod;
  Instant LastTick;
  std::uint64_t NextSequence = 1;
  std::uint64_t Digest = 0;
  std::uint64_t Version = 0;
  std::uint64_t SuspectVersion = 0;
  int Slowness = 0;
  std::uint64_t Suspicions = 0;
  std::uint64_t Refutations = 0;
  bool Merging = false; ///< What is learned now is not passed on.

  void apply(const Member &Claim, Instant Now);
  void applyAboutSelf(const Member &Claim);
  void settle(Known &Entry, const Member &Claim, Instant Now);
  void confirm(Known &Entry, const Member &Claim);
  void suspect(const Address &Where, Instant Now);
  void expireSuspicions(Instant Now);
  void forgetDead(Instant Now);
  void noteOwnPause(Instant Now);
  void startProbe(Instant Now, std::vector<OutgoingGossip> &Out);
  void checkProbe(Instant Now, std::vector<OutgoingGossip> &Out);
  /// Adds what is held against \p Where, if it does not count as alive.
  void addClaimAbout(const Address &Where, GossipMessage &Message) const;
  std::optional<Address> nextInTurn();
  /// Takes the next live member off \p Order, nothing at its end.
  std::optional<Address> takeLive(std::vector<Address> &Order);
  /// Live members of the own failure domain, in random order.
  std::vector<Address> near();
  void enqueue(const Member &About);
  /// Passes one known member on anew to a sender that knows other ones, once
  /// there is no fresher news: news of a join may have run out on the way.
  void repairDifference(std::uint64_t TheirDigest);
  [[nodiscard]] Duration suspicionLength(std::size_t Confirmations) const;
  [[nodiscard]] int sendLimit() const;
  [[nodiscard]] std::size_t liveCount() const;
  void answer(const Ping &Asked, const GossipMessage &Message,
              std::vector<OutgoingGossip> &Out);
  void answer(const PingRequest &Asked, const GossipMessage &Message,
              Instant Now, std::vector<OutgoingGossip> &Out);
  void answer(const Ack &Given, std::vector<OutgoingGossip> &Out);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_MEMBERSHIP_H
