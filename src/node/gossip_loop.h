#ifndef SISKINSTAGE_NODE_GOSSIP_LOOP_H
#define SISKINSTAGE_NODE_GOSSIP_LOOP_H

#include "core/gossip_seal.h"
#include "core/membership.h"
#include "node/gossip_command.h"
#include "siskinstage/config.h"
#include "siskinstage/error.h"

#include <Poco/Net/DatagramSocket.h>
#include <memory>
#include <unordered_map>

namespace siskinstage {

struct NodeContext;

/// The gossip thread: sends and receives the datagrams between nodes. It owns
/// the membership.
class GossipLoop {
public:
  static Result<std::unique_ptr<GossipLoop>> start(NodeContext &Context,
                                                   std::uint64_t Seed);

  /// Runs until the node stops; says farewell when it drains.
  void run();

private:
  NodeContext &Context;
  Poco::Net::DatagramSocket Socket;
  Membership Members;
  Random Dice;
  GossipSeal Seal;
  std::uint64_t ShownVersion = 0;
  std::uint64_t ShownSuspects = 0;
  Instant NextShow;
  Instant NextChangeShow;
  Instant NextRecordSync;
  Instant NextMemberSync;
  Duration MemberSyncPause = config::MemberSyncLeast;
  bool SaidFarewell = false;
  std::unordered_map<Address, Poco::Net::SocketAddress> Resolved;

  GossipLoop(NodeContext &Context, std::uint64_t Seed);
  void receiveAll();
  void receive(const std::string &Datagram);
  void take(const GossipMessage &Message);
  void takeNews(const RecordNews &News, const Member &From);
  void takeCrash(const CrashNews &News);
  void takeGray(const GrayNews &News);
  void compareDigests(const GossipMessage &Message);
  void takeOrders();
  void obey(const BroadcastRecord &Order);
  void obey(const SendReport &Order);
  void obey(const SendGrayEstimate &Order);
  void obey(const SetSeeds &Order);
  void obey(const SetPlatformUnreachable &Order);
  void obey(const CrashNews &Order);
  void obey(const std::vector<Member> &Table);
  void send(const std::vector<OutgoingGossip> &Out);
  void send(const Address &To, GossipMessage Message);
  void show(Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_GOSSIP_LOOP_H
