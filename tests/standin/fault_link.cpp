#include "standin/fault_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <chrono>
#include <map>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace siskinstage::standin {

namespace {

using Poco::Net::DatagramSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr std::size_t BufferBytes = 64 * 1024;
constexpr auto PollInterval = std::chrono::milliseconds(10);

/// \returns true with the given probability.
bool draw(double Probability) {
  if (Probability <= 0)
    return false;
  thread_local std::minstd_rand Engine(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(Engine) < Probability;
}

void sendAll(StreamSocket &To, const char *Data, int Length) {
  int Sent = 0;
  while (Sent < Length)
    Sent += To.sendBytes(Data + Sent, Length - Sent);
}

} // namespace

FaultLink::FaultLink(std::string ListenAddress, std::string ForwardAddress)
    : ListenAddress(std::move(ListenAddress)),
      ForwardAddress(std::move(ForwardAddress)) {}

void FaultLink::updateRules(const ControlRequest &Request) {
  const std::string Direction = Request.text("direction", "both");
  const std::uint64_t ConnectionNumber = this->NextConnection;
  if (Direction != "down")
    this->Up.update(Request, ConnectionNumber);
  if (Direction != "up")
    this->Down.update(Request, ConnectionNumber);
}

void FaultLink::runTcp() {
  Poco::Net::ServerSocket Socket;
  Socket.bind(SocketAddress(this->ListenAddress), true, false);
  Socket.listen(256);
  while (true) {
    StreamSocket Client = Socket.acceptConnection();
    const std::uint64_t ConnectionNumber = this->NextConnection++;
    std::thread([this, Client, ConnectionNumber] {
      this->serveConnection(Client, ConnectionNumber);
    }).detach();
  }
}

void FaultLink::serveConnection(StreamSocket Client,
                                std::uint64_t ConnectionNumber) {
  try {
    // While the up direction is blocked, the client gets neither data nor
    // an error.
    while (this->Up.Blocked)
      std::this_thread::sleep_for(PollInterval);
    StreamSocket Server;
    Server.connect(SocketAddress(this->ForwardAddress), Poco::Timespan(2, 0));
    Client.setNoDelay(true);
    Server.setNoDelay(true);
    std::thread DownThread([this, Server, Client, ConnectionNumber] {
      this->relay(Server, Client, this->Down, ConnectionNumber);
    });
    this->relay(Client, Server, this->Up, ConnectionNumber);
    DownThread.join();
  } catch (const Poco::Exception &) {
    try {
      Client.setLinger(true, 0);
      Client.close();
    } catch (const Poco::Exception &) {
      // The connection is already closed.
    }
  }
}

void FaultLink::relay(StreamSocket From, StreamSocket To, const FaultRule &Rule,
                      std::uint64_t ConnectionNumber) {
  std::vector<char> Buffer(BufferBytes);
  std::int64_t Forwarded = 0;
  try {
    while (true) {
      const int Received =
          From.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
      while (Rule.Blocked)
        std::this_thread::sleep_for(PollInterval);
      const bool Silenced = ConnectionNumber < Rule.SilencedBelow;
      if (Silenced && Received > 0)
        continue;
      if (Silenced)
        return; // The end of the stream is not relayed either.
      if (Received <= 0)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(Rule.DelayMs));
      const std::int64_t Limit = Rule.TruncateAfterBytes;
      int Length = Received;
      if (Limit >= 0 && Forwarded + Received > Limit)
        Length = static_cast<int>(std::max<std::int64_t>(0, Limit - Forwarded));
      sendAll(To, Buffer.data(), Length);
      Forwarded += Length;
      if (Length < Received)
        break;
    }
    To.shutdownSend();
    if (Rule.TruncateAfterBytes >= 0)
      From.close();
  } catch (const Poco::Exception &) {
    try {
      To.shutdown();
      From.shutdown();
    } catch (const Poco::Exception &) {
      // The connections are already closed.
    }
  }
}

void FaultLink::runUdp() {
  DatagramSocket ListenSocket;
  ListenSocket.bind(SocketAddress(this->ListenAddress), true, false);
  const SocketAddress Destination(this->ForwardAddress);
  std::map<std::string, std::pair<DatagramSocket, SocketAddress>> Clients;
  std::array<char, 2048> Buffer{};
  std::vector<char> HeldDatagram;
  const auto Deliver = [&](const FaultRule &Rule, auto Send, int Received) {
    if (Rule.Blocked || draw(Rule.DropProbability))
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(Rule.DelayMs));
    if (HeldDatagram.empty() && draw(Rule.ReorderProbability)) {
      HeldDatagram.assign(Buffer.data(), Buffer.data() + Received);
      return;
    }
    Send(Buffer.data(), Received);
    if (!HeldDatagram.empty())
      Send(HeldDatagram.data(), static_cast<int>(HeldDatagram.size()));
    HeldDatagram.clear();
  };
  while (true) {
    if (ListenSocket.poll(Poco::Timespan(0, 2000),
                          Poco::Net::Socket::SELECT_READ)) {
      SocketAddress From;
      const int Received = ListenSocket.receiveFrom(
          Buffer.data(), static_cast<int>(Buffer.size()), From);
      auto [Client, Inserted] = Clients.try_emplace(
          From.toString(), DatagramSocket(SocketAddress("127.0.0.1:0")), From);
      DatagramSocket &ClientSocket = Client->second.first;
      Deliver(
          this->Up,
          [&](const char *Data, int Length) {
            ClientSocket.sendTo(Data, Length, Destination);
          },
          Received);
    }
    for (auto &[ClientKey, Client] : Clients) {
      if (!Client.first.poll(Poco::Timespan(0, 0),
                             Poco::Net::Socket::SELECT_READ))
        continue;
      SocketAddress From;
      const int Received = Client.first.receiveFrom(
          Buffer.data(), static_cast<int>(Buffer.size()), From);
      const SocketAddress &ClientAddress = Client.second;
      Deliver(
          this->Down,
          [&](const char *Data, int Length) {
            ListenSocket.sendTo(Data, Length, ClientAddress);
          },
          Received);
    }
  }
}

} // namespace siskinstage::standin
