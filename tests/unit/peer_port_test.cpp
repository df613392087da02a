#include "core/fleet/key_ring.h"
#include "net/boot_time.h"
#include "net/http_io.h"
#include "net/wall_clock.h"
#include "node/callers/caller_port.h"
#include "node/callers/connection_server.h"
#include "node/fleet/peer_api.h"
#include "node/fleet/peer_signature.h"
#include "node/node_context.h"
#include "node/snapshot.h"
#include "siskinstage/config.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>
#include <thread>

namespace siskinstage {
namespace {

constexpr int Threads = 3;
constexpr std::size_t Readers = 8;
/// More than a socket takes before its peer reads.
constexpr std::size_t LongTextBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxBytes = 2 * LongTextBytes;
constexpr Millis TimeLimit{20'000};
/// Time in which all requests are read and all threads are busy.
constexpr Millis PauseBeforeReading{500};

Settings settings() {
  Settings Values;
  Values.Keys = *KeyRing::parse("1:000102030405060708090a0b0c0d0e0f");
  return Values;
}

class PeerPort : public testing::Test {
protected:
  PeerPort() {
    this->Context.Timers = *TimerQueue::create();
    Record Long;
    Long.Key = {RecordKind::Bundle, "long"};
    Long.Rev = {1};
    Long.Text = std::make_shared<const std::string>(LongTextBytes, 'x');
    this->Context.Records.adopt(Long);
    Poco::Net::ServerSocket Free(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->Endpoint = Address(Free.address().toString());
    Free.close();
    this->Server = *ConnectionServer::start({100, Threads},
                                            this->Context.ControlConnections);
    EXPECT_TRUE(this->Server->listen(
        this->Endpoint, std::make_shared<CallerPort>(this->Context)));
  }

  /// The signed request for the long record.
  Poco::Net::HTTPRequest request() const {
    const std::string Target =
        std::string(PeerPathPrefix) + "record?kind=bundle&name=long";
    Poco::Net::HTTPRequest Request("GET", Target, "HTTP/1.1");
    signPeerRequest(Request, *this->Values.Keys, "siskinstage peer question 1 ",
                    Target, wallClockMs());
    Request.setHost("peer");
    Request.setKeepAlive(false);
    return Request;
  }

  Settings Values = settings();
  NodeContext Context{this->Values, AddressParts{}, Incarnation{1},
                      std::make_shared<const Snapshot>()};
  Address Endpoint;
  std::unique_ptr<ConnectionServer> Server;
};

// Nodes that lost power while they read held all threads for 30 s.
TEST_F(PeerPort, NodesThatStopReadingHoldNoThreadForLong) {
  const Instant Start = bootNow();
  std::vector<TcpConnection> Stopped;
  for (int I = 0; I < Threads; ++I) {
    Stopped.push_back(
        *TcpConnection::connect(this->Endpoint, Start + TimeLimit));
    ASSERT_TRUE(
        Stopped.back().write(headText(this->request()), Start + TimeLimit));
  }
  std::this_thread::sleep_for(PauseBeforeReading);
  auto Reader = *TcpConnection::connect(this->Endpoint, Start + TimeLimit);
  ASSERT_TRUE(Reader.write(headText(this->request()), Start + TimeLimit));
  EXPECT_TRUE(
      readHead(Reader, HeadKind::Response, Start + TimeLimit, TimeLimit));
  EXPECT_LT(bootNow() - Start, 3 * config::PeerCallTimeout);
}

// The last free thread wrote what the socket took, and closed the connection.
TEST_F(PeerPort, LongResponsesAreCompleteWhileAllThreadsAreBusy) {
  const Instant Deadline = bootNow() + TimeLimit;
  std::vector<TcpConnection> Open;
  for (std::size_t I = 0; I < Readers; ++I) {
    Open.push_back(*TcpConnection::connect(this->Endpoint, Deadline));
    ASSERT_TRUE(Open.back().write(headText(this->request()), Deadline));
  }
  std::this_thread::sleep_for(PauseBeforeReading);
  for (TcpConnection &Reader : Open) {
    const auto Head = readHead(Reader, HeadKind::Response, Deadline, TimeLimit);
    ASSERT_TRUE(Head) << readFaultText(Head.error());
    const auto Response = parseResponse(*Head);
    EXPECT_EQ(Response.getStatus(), 200);
    const auto Framing = responseFraming(framingFields(Response), "GET", 200);
    ASSERT_TRUE(Framing);
    const auto Body = readWholeBody(Reader, *Framing, MaxBytes, Deadline);
    EXPECT_TRUE(Body) << readFaultText(Body.error());
  }
}

} // namespace
} // namespace siskinstage
