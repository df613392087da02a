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
constexpr auto Slice = std::chrono::milliseconds(10);

bool drawn(double Share) {
  if (Share <= 0)
    return false;
  thread_local std::minstd_rand Engine(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(Engine) < Share;
}

void sendAll(StreamSocket &To, const char *Data, int Length) {
  int Sent = 0;
  while (Sent < Length)
    Sent += To.sendBytes(Data + Sent, Length - Sent);
}

} // namespace

FaultLink::FaultLink(std::string Listen, std::string Forward)
    : Listen(std::move(Listen)), Forward(std::move(Forward)) {}

void FaultLink::set(const ControlRequest &Asked) {
  const std::string Direction = Asked.text("direction", "both");
  const std::uint64_t Number = this->NextConnection;
  if (Direction != "down")
    this->Up.set(Asked, Number);
  if (Direction != "up")
    this->Down.set(Asked, Number);
}

void FaultLink::runTcp() {
  Poco::Net::ServerSocket Socket;
  Socket.bind(SocketAddress(this->Listen), true, false);
  Socket.listen(256);
  while (true) {
    StreamSocket Near = Socket.acceptConnection();
    const std::uint64_t Number = this->NextConnection++;
    std::thread([this, Near, Number] { this->serve(Near, Number); }).detach();
  }
}

void FaultLink::serve(StreamSocket Near, std::uint64_t Number) {
  try {
    // A cut towards the far side: the connection gives no sign of life.
    while (this->Up.Cut)
      std::this_thread::sleep_for(Slice);
    StreamSocket Far;
    Far.connect(SocketAddress(this->Forward), Poco::Timespan(2, 0));
    Near.setNoDelay(true);
    Far.setNoDelay(true);
    std::thread Other([this, Far, Near, Number] {
      this->pump(Far, Near, this->Down, Number);
    });
    this->pump(Near, Far, this->Up, Number);
    Other.join();
  } catch (const Poco::Exception &) {
    try {
      Near.setLinger(true, 0);
      Near.close();
    } catch (const Poco::Exception &) {
      // It is closed already.
    }
  }
}

void FaultLink::pump(StreamSocket From, StreamSocket To, const FaultRule &Rule,
                     std::uint64_t Number) {
  std::vector<char> Buffer(BufferBytes);
  std::int64_t Passed = 0;
  try {
    while (true) {
      const int Got =
          From.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
      while (Rule.Cut)
        std::this_thread::sleep_for(Slice);
      const bool Silent = Number < Rule.SilentBefore;
      if (Silent && Got > 0)
        continue;
      if (Silent)
        return; // Not even the end of the connection passes.
      if (Got <= 0)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(Rule.DelayMs));
      const std::int64_t Limit = Rule.TruncateAfter;
      int Length = Got;
      if (Limit >= 0 && Passed + Got > Limit)
        Length = static_cast<int>(std::max<std::int64_t>(0, Limit - Passed));
      sendAll(To, Buffer.data(), Length);
      Passed += Length;
      if (Length < Got)
        break;
    }
    To.shutdownSend();
    if (Rule.TruncateAfter >= 0)
      From.close();
  } catch (const Poco::Exception &) {
    try {
      To.shutdown();
      From.shutdown();
    } catch (const Poco::Exception &) {
      // Both ends are gone.
    }
  }
}

void FaultLink::runUdp() {
  DatagramSocket Near;
  Near.bind(SocketAddress(this->Listen), true, false);
  const SocketAddress Far(this->Forward);
  std::map<std::string, std::pair<DatagramSocket, SocketAddress>> Senders;
  std::array<char, 2048> Buffer{};
  std::vector<char> Late;
  const auto Pass = [&](const FaultRule &Rule, auto Send, int Got) {
    if (Rule.Cut || drawn(Rule.DropShare))
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(Rule.DelayMs));
    if (Late.empty() && drawn(Rule.ReorderShare)) {
      Late.assign(Buffer.data(), Buffer.data() + Got);
      return;
    }
    Send(Buffer.data(), Got);
    if (!Late.empty())
      Send(Late.data(), static_cast<int>(Late.size()));
    Late.clear();
  };
  while (true) {
    if (Near.poll(Poco::Timespan(0, 2000), Poco::Net::Socket::SELECT_READ)) {
      SocketAddress From;
      const int Got = Near.receiveFrom(Buffer.data(),
                                       static_cast<int>(Buffer.size()), From);
      auto [Sender, New] = Senders.try_emplace(
          From.toString(), DatagramSocket(SocketAddress("127.0.0.1:0")), From);
      DatagramSocket &Out = Sender->second.first;
      Pass(
          this->Up,
          [&](const char *Data, int Length) { Out.sendTo(Data, Length, Far); },
          Got);
    }
    for (auto &[Name, Sender] : Senders) {
      if (!Sender.first.poll(Poco::Timespan(0, 0),
                             Poco::Net::Socket::SELECT_READ))
        continue;
      SocketAddress From;
      const int Got = Sender.first.receiveFrom(
          Buffer.data(), static_cast<int>(Buffer.size()), From);
      const SocketAddress &Back = Sender.second;
      Pass(
          this->Down,
          [&](const char *Data, int Length) {
            Near.sendTo(Data, Length, Back);
          },
          Got);
    }
  }
}

} // namespace siskinstage::standin
