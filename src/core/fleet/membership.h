#ifndef SISKINSTAGE_CORE_FLEET_MEMBERSHIP_H
#define SISKINSTAGE_CORE_FLEET_MEMBERSHIP_H

#include "core/fleet/gossip_message.h"
#include "core/random.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace siskinstage {

/// The members of the fleet, by the SWIM protocol with Lifeguard extensions.
/// In each period one member is pinged, in random order. If it does not
/// respond, other members ping it on this node's behalf; if it still does not
/// respond, it becomes suspect, and it becomes dead if the suspicion is not
/// refuted in time. By Lifeguard, the time-out of a suspicion gets shorter with
/// each member that confirms it, and a node that is slow itself suspects others
/// later.
///
/// Does no I/O: the caller sends the messages that the functions return. Not
/// thread-safe.
class Membership {
public:
  /// Figures for operators.
  struct Stats {
    std::size_t Alive = 0;
    std::size_t Suspect = 0;
    std::size_t Dead = 0; ///< Dead and left members that are still kept.
    std::uint64_t Suspicions = 0;  ///< Started by this node.
    std::uint64_t Refutations = 0; ///< Of wrong claims about this node.
    /// Local health score of Lifeguard, 0 to config::MaxSlowness: raised by
    /// missed acks, refutations and pauses of this process, lowered by acks. It
    /// prolongs this node's time-outs for acks and suspicions.
    int Slowness = 0;
    /// Updates about members that are still retransmitted.
    std::size_t QueuedUpdates = 0;
  };

  Membership(Member Self, std::uint64_t Seed);

  /// Sets addresses that are pinged while they are not in the table, to join
  /// the fleet and to rejoin parts of it that lost contact.
  void setSeeds(std::vector<Address> NewSeeds);
  /// Sets whether this node fails to read the platform. A change is sent to the
  /// other members.
  void setPlatformUnreachable(bool Unreachable);
  /// Advances the protocol to \p Now. \returns the messages to send.
  std::vector<OutgoingGossip> tick(Instant Now);
  /// Handles a received message. \returns the messages to send.
  std::vector<OutgoingGossip> receive(const GossipMessage &Message,
                                      Instant Now);
  /// Merges another node's table of members. What is new in it is not
  /// broadcast, since the other nodes read tables too.
  /// \returns by how many the number of live members has grown.
  std::size_t merge(const std::vector<Member> &Others, Instant Now);
  /// Marks this node as left. \returns the messages that announce it.
  std::vector<OutgoingGossip> leave(Instant Now);

  /// All members in the table, without this node. Dead and left ones stay in it
  /// for config::DeadMemberRetention.
  [[nodiscard]] std::vector<Member> members() const;
  /// This node, first, and all members that are alive or suspect.
  [[nodiscard]] std::vector<Member> live() const;
  [[nodiscard]] const Member &self() const { return this->Self; }
  /// Hash of the live members, equal at nodes whose live members are the same.
  [[nodiscard]] std::uint64_t digest() const { return this->Digest; }
  /// Incremented when a member joins or stops being live, restarts, or changes
  /// its capacity or whether it can read the platform.
  [[nodiscard]] std::uint64_t version() const { return this->Version; }
  /// Incremented when a member becomes suspect or stops being suspect.
  [[nodiscard]] std::uint64_t suspectVersion() const {
    return this->SuspectVersion;
  }
  [[nodiscard]] Stats stats() const;
  /// Up to \p Count live members in random order, without this node.
  std::vector<Address> sample(std::size_t Count);
  /// Builds a message of this node from \p Body and queued updates about
  /// members.
  GossipMessage compose(GossipBody Body);

private:
  /// One member of the table.
  struct MemberEntry {
    Member Current;
    Instant StateSince;
    Instant SuspectUntil;         ///< When a suspect member becomes dead.
    std::set<Address> Confirmers; ///< Members that suspect it on their own.
  };
  /// An update about a member, sent up to retransmitLimit() times.
  struct QueuedUpdate {
    Member Update;
    int SendCount = 0;
  };
  /// A ping without an ack so far.
  struct Probe {
    Address Target;
    std::uint64_t Sequence = 0;
    Instant SentAt;
    bool IndirectSent = false; ///< Ping requests were sent.
  };
  /// A ping sent on behalf of another member.
  struct Relay {
    Address Requester;
    std::uint64_t Sequence = 0; ///< Of the requester's ping.
    Instant SentAt;
  };

  Member Self;
  Random RandomSource;
  std::vector<Address> Seeds;
  std::unordered_map<Address, MemberEntry> Table;
  std::map<Address, QueuedUpdate> UpdateQueue;
  std::vector<Address> ProbeOrder;          ///< Members to ping in this round.
  std::vector<Address> OwnDomainProbeOrder; ///< Those of the own domain.
  std::uint64_t Periods = 0;                ///< Number of probes so far.
  std::optional<Probe> PendingProbe;
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
  bool MergingTable = false; ///< Changes are not broadcast.

  /// Applies a claim about any member, if it overrides the entry of that
  /// member.
  void applyClaim(const Member &Claim, Instant Now);
  /// Refutes a wrong claim about this node.
  void applyClaimAboutSelf(const Member &Claim);
  /// Replaces the state of \p Entry by \p Claim.
  void updateEntry(MemberEntry &Entry, const Member &Claim, Instant Now);
  /// Counts a further member that suspects \p Entry, which shortens the
  /// time-out.
  void confirmSuspicion(MemberEntry &Entry, const Member &Claim);
  /// Starts or confirms a suspicion of this node.
  void suspect(const Address &Endpoint, Instant Now);
  void expireSuspicions(Instant Now);
  /// Removes members that have been dead for longer than the retention period.
  void removeDead(Instant Now);
  /// Detects that this process did not run for some time.
  void checkOwnPause(Instant Now);
  /// Pings the next member, and one dead member or unknown seed.
  void startProbe(Instant Now, std::vector<OutgoingGossip> &Out);
  /// Sends ping requests, or suspects the member, if the ack is late.
  void checkProbe(Instant Now, std::vector<OutgoingGossip> &Out);
  /// Adds the entry of the member at \p Endpoint to \p Message unless it is
  /// alive.
  void addClaimAbout(const Address &Endpoint, GossipMessage &Message) const;
  /// Mostly a member of the own failure domain; in every
  /// config::CrossDomainPingPeriods-th period one of any domain.
  std::optional<Address> nextProbeTarget();
  /// Removes members from the end of \p Order up to the first live one.
  /// \returns that member, or nothing if none is live.
  std::optional<Address> popLive(std::vector<Address> &Order);
  /// Live members of the own failure domain, in random order.
  std::vector<Address> sampleOwnDomain();
  void queueUpdate(const Member &Update);
  /// Queues an update about a random live member if \p TheirDigest differs and
  /// no update is queued. The retransmissions of a join may end before it has
  /// reached every member.
  void requeueOnDigestMismatch(std::uint64_t TheirDigest);
  /// Time from the start of a suspicion until the member becomes dead.
  [[nodiscard]] Duration suspicionTimeout(std::size_t Confirmations) const;
  /// Number of messages that carry one update.
  [[nodiscard]] int retransmitLimit() const;
  [[nodiscard]] std::size_t liveCount() const;
  void handle(const Ping &Body, const GossipMessage &Message,
              std::vector<OutgoingGossip> &Out);
  void handle(const PingRequest &Body, const GossipMessage &Message,
              Instant Now, std::vector<OutgoingGossip> &Out);
  void handle(const Ack &Body, std::vector<OutgoingGossip> &Out);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_MEMBERSHIP_H
