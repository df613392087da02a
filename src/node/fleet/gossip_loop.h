#ifndef SISKINSTAGE_NODE_FLEET_GOSSIP_LOOP_H
#define SISKINSTAGE_NODE_FLEET_GOSSIP_LOOP_H

#include "core/fleet/gossip_seal.h"
#include "core/fleet/membership.h"
#include "core/records/recent_records.h"
#include "core/records/record_repair.h"
#include "core/requests/fleet_quota.h"
#include "node/fleet/confirmation_exchange.h"
#include "node/fleet/gossip_command.h"
#include "siskinstage/config.h"
#include "siskinstage/error.h"

#include <Poco/Net/DatagramSocket.h>
#include <memory>
#include <unordered_map>

namespace siskinstage {

struct NodeContext;

/// The gossip thread. It exchanges datagrams with other nodes and owns the
/// membership.
class GossipLoop {
public:
  /// Binds the UDP socket.
  /// \param Seed of the random number generators.
  /// \returns an error if the address can't be bound.
  static Result<std::unique_ptr<GossipLoop>> start(NodeContext &Context,
                                                   std::uint64_t Seed);

  /// Runs until Context.Stop is set. Announces that this node leaves as soon as
  /// it is draining.
  void run();

private:
  NodeContext &Context;
  Poco::Net::DatagramSocket Socket;
  Membership Members;
  Random RandomSource;
  GossipSeal Seal;
  ConfirmationExchange Confirmations;
  std::uint64_t PublishedVersion = 0;
  std::uint64_t PublishedSuspectVersion = 0;
  bool EntryChanged = false; ///< Not published yet.
  /// Earliest time to publish a view without changes.
  Instant NextPublish;
  /// Earliest time to publish a view with changes.
  Instant NextChangePublish;
  RecentRecords Recent;
  RecordRepair Repair;
  Instant NextRecordSync; ///< While the node starts.
  Instant NextMemberSync;
  Duration MemberSyncInterval = config::MinMemberSyncInterval;
  bool LeaveSent = false;
  std::vector<Member> Live; ///< As of LiveVersion, see liveMembers().
  std::uint64_t LiveVersion = 0;
  std::unordered_map<Address, Poco::Net::SocketAddress> ResolvedAddresses;

  GossipLoop(NodeContext &Context, std::uint64_t Seed);
  /// The live members, including this node.
  const std::vector<Member> &liveMembers();
  void receiveAll();
  void receive(const std::string &Datagram);
  void handle(const GossipMessage &Message);
  void handleRecord(const RecordUpdate &Update, const Member &From);
  void handleCrash(const CrashReport &Report);
  void handleGrayEstimate(const GrayEstimateUpdate &Estimate,
                          const Member &From);
  void handleRateLimit(const RateLimitUpdate &Update, const Member &From);
  void send(std::vector<OutgoingQuota> Out);
  void handleRecordRequest(const RecordRequest &Request, const Member &From);
  void compareDigests(const GossipMessage &Message);
  void compareRecordDigests(const GossipMessage &Message, Instant Now);
  void executeCommands();
  void execute(const BroadcastRecord &Command);
  void execute(const SendReport &Command);
  void execute(const SendGrayEstimate &Command);
  void execute(const SendRateLimit &Command);
  void execute(const SetSeeds &Command);
  void execute(const SetPlatformUnreachable &Command);
  void execute(const CrashReport &Command);
  void execute(const std::vector<Member> &Table);
  void send(const std::vector<OutgoingGossip> &Out);
  void send(const Address &To, GossipMessage Message);
  /// Sends one message to all \p Recipients. Encoding and signing a message
  /// takes many times as long as sending it.
  void sendToAll(const std::vector<Address> &Recipients, GossipBody Body);
  /// Completes and signs a message.
  std::string encode(GossipMessage Message);
  void transmit(const Address &To, const std::string &Datagram);
  /// Makes the members visible to the other threads.
  void publishView(Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_GOSSIP_LOOP_H
