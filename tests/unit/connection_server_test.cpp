#include "net/boot_time.h"
#include "node/callers/active_request.h"
#include "node/callers/connection_server.h"
#include "siskinstage/config.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <gtest/gtest.h>
#include <mutex>
#include <poll.h>
#include <thread>
#include <vector>

namespace siskinstage {
namespace {

constexpr int Threads = 3;
constexpr std::size_t BusyCallers = 60;
constexpr std::size_t OtherCallers = 200;
constexpr Millis WorkOfARequest{1};
/// Time within which a request that does not wait is answered.
constexpr Millis AnswerTime{500};

class WaitingRequest : public ActiveRequest {
public:
  explicit WaitingRequest(TcpConnection &Caller) : Caller(Caller) {}
  ConnectionHandler::Next resume(bool /*MayBlock*/) override {
    if (this->Caller.peerGone())
      return ConnectionHandler::Next::Close;
    (void)this->Caller.write("w", bootNow());
    return ConnectionHandler::Next::Idle;
  }

private:
  TcpConnection &Caller;
};

/// Suspends requests of the byte 'w', and uses processor time for others.
class OneByteHandler : public ConnectionHandler {
public:
  Next serve(TcpConnection &Peer, ServeTurn &Turn) override {
    if (!Peer.fill(bootNow()))
      return Next::Close;
    const char Kind = Peer.buffered().front();
    Peer.consume(1);
    if (Kind == 'w') {
      Turn.Started = std::make_shared<WaitingRequest>(Peer);
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->Resumes.push_back(Turn.Resume);
      return Next::Suspended;
    }
    const Instant End = bootNow() + WorkOfARequest;
    while (bootNow() < End)
      continue;
    return Peer.write("b", bootNow()) ? Next::Idle : Next::Close;
  }
  void closeOverdue(TcpConnection & /*Peer*/) override {}
  [[nodiscard]] Duration headTimeout() const override { return Millis(10'000); }
  [[nodiscard]] Duration idleTimeout(bool /*Draining*/) const override {
    return Millis(60'000);
  }
  std::vector<std::function<void()>> resumes() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Resumes;
  }

private:
  std::mutex Lock;
  std::vector<std::function<void()>> Resumes;
};

std::vector<TcpConnection> connectCallers(const Address &To, std::size_t Count,
                                          std::string_view FirstRequest) {
  std::vector<TcpConnection> Callers;
  for (std::size_t I = 0; I < Count; ++I) {
    Callers.push_back(*TcpConnection::connect(To, bootNow() + Millis(5000)));
    EXPECT_TRUE(Callers.back().write(FirstRequest, bootNow() + Millis(5000)));
  }
  return Callers;
}

/// Reads a byte from each caller that has one. \returns their positions.
std::vector<std::size_t> readAnswers(std::vector<TcpConnection> &Callers) {
  std::vector<pollfd> Polled;
  for (const TcpConnection &Caller : Callers)
    Polled.push_back({Caller.descriptor(), POLLIN, 0});
  ::poll(Polled.data(), Polled.size(), 10);
  std::vector<std::size_t> Answered;
  for (std::size_t I = 0; I < Polled.size(); ++I) {
    if (Polled[I].revents == 0 || !Callers[I].fill(bootNow()))
      continue;
    Callers[I].consume(Callers[I].buffered().size());
    Answered.push_back(I);
  }
  return Answered;
}

Address freeAddress() {
  const Poco::Net::ServerSocket Free(Poco::Net::SocketAddress("127.0.0.1:0"));
  return Address(Free.address().toString());
}

/// A server whose threads are busy with callers that send again at once.
class BusyServer : public testing::Test {
protected:
  void SetUp() override {
    this->Server = *ConnectionServer::start({1000, Threads}, this->Counts);
    ASSERT_TRUE(this->Server->listen(this->Port, this->Handler));
  }
  void TearDown() override {
    this->Done = true;
    if (this->Sender.joinable())
      this->Sender.join();
  }
  void startBusyCallers() {
    this->Sender = std::thread([this] {
      auto Busy = connectCallers(this->Port, BusyCallers, "b");
      while (!this->Done)
        for (const std::size_t Caller : readAnswers(Busy))
          (void)Busy[Caller].write("b", bootNow());
    });
    std::this_thread::sleep_for(Millis(100));
  }
  /// \returns how many of \p Callers have their answer in time.
  static std::size_t countAnswers(std::vector<TcpConnection> &Callers) {
    const Instant End = bootNow() + AnswerTime;
    std::size_t Answered = 0;
    while (Answered < Callers.size() && bootNow() < End)
      Answered += readAnswers(Callers).size();
    return Answered;
  }

  const Address Port = freeAddress();
  const std::shared_ptr<OneByteHandler> Handler =
      std::make_shared<OneByteHandler>();

private:
  ConnectionCounts Counts;
  std::unique_ptr<ConnectionServer> Server;
  std::atomic<bool> Done{false};
  std::thread Sender;
};

/// Guards against requests that are held past their timeout, as their wakeups
/// are served one for each round of the callers that send again at once.
TEST_F(BusyServer, AnswersAllRequestsThatAreWoken) {
  auto Waiting = connectCallers(this->Port, OtherCallers, "w");
  const Instant End = bootNow() + Millis(5'000);
  while (this->Handler->resumes().size() < OtherCallers && bootNow() < End)
    std::this_thread::sleep_for(Millis(1));
  ASSERT_EQ(this->Handler->resumes().size(), OtherCallers);
  this->startBusyCallers();
  for (const auto &Resume : this->Handler->resumes())
    Resume();
  EXPECT_EQ(countAnswers(Waiting), OtherCallers);
}

/// Guards against connections that are accepted one for each such round, so
/// that their requests are read late and their timeouts count from then on.
TEST_F(BusyServer, AcceptsAllNewCallers) {
  this->startBusyCallers();
  auto New = connectCallers(this->Port, OtherCallers, "b");
  EXPECT_EQ(countAnswers(New), OtherCallers);
}

/// Holds the thread that reads a request until it is released, as on a node
/// without processor time. Its connections may not be idle in a planned stop.
class HoldingHandler : public OneByteHandler {
public:
  Next serve(TcpConnection &Peer, ServeTurn &Turn) override {
    {
      std::unique_lock<std::mutex> Guard(this->Lock);
      ++this->Held;
      this->Changed.notify_all();
      this->Changed.wait(Guard, [this] { return this->Released; });
    }
    return OneByteHandler::serve(Peer, Turn);
  }
  [[nodiscard]] Duration idleTimeout(bool Draining) const override {
    return Draining ? Millis::zero() : Millis(60'000);
  }
  void awaitHeld(int Threads) {
    std::unique_lock<std::mutex> Guard(this->Lock);
    this->Changed.wait(Guard, [&] { return this->Held >= Threads; });
  }
  void release() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Released = true;
    this->Changed.notify_all();
  }

private:
  std::mutex Lock;
  std::condition_variable Changed;
  int Held = 0;
  bool Released = false;
};

/// Guards against requests that a draining node does not answer, as it closes
/// idle connections whose input no thread has read yet.
TEST(ConnectionServerDrain, ConnectionsWithUnreadRequestsAreNotIdle) {
  const auto Handler = std::make_shared<HoldingHandler>();
  const Address Port = freeAddress();
  ConnectionCounts Counts;
  const auto Server = *ConnectionServer::start({1000, Threads}, Counts);
  ASSERT_TRUE(Server->listen(Port, Handler));
  auto Callers = connectCallers(Port, OtherCallers + Threads, "");
  const Instant End = bootNow() + Millis(5'000);
  while (Counts.Open.load() < Callers.size() && bootNow() < End)
    std::this_thread::sleep_for(Millis(1));
  for (std::size_t I = 0; I < Threads; ++I)
    EXPECT_TRUE(Callers[I].write("b", bootNow() + Millis(1000)));
  Handler->awaitHeld(Threads);
  Server->drain();
  for (std::size_t I = Threads; I < Callers.size(); ++I)
    EXPECT_TRUE(Callers[I].write("b", bootNow() + Millis(1000)));
  std::this_thread::sleep_for(config::DrainQuietTime + Millis(50));
  Server->closeExpired();
  Handler->release();
  std::size_t Answered = 0;
  while (Answered < Callers.size() && bootNow() < End)
    Answered += readAnswers(Callers).size();
  EXPECT_EQ(Answered, Callers.size());
  // Without further input they are.
  std::this_thread::sleep_for(config::DrainQuietTime + Millis(50));
  Server->closeExpired();
  EXPECT_EQ(Counts.Open.load(), 0U);
}

} // namespace
} // namespace siskinstage
