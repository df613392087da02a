#include "node/pipe_wakeup.h"
#include "unit/connection_pair.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <pthread.h>
#include <thread>

namespace siskinstage {
namespace {

// Guards against a write that fails because the send buffer is full: uploads
// ended as if the peer had closed the connection.
TEST(TcpConnection, WaitsWhileTheSendBufferIsFull) {
  ConnectionPair Pair;
  const std::string Sent(16U * 1024 * 1024, 'x');
  std::size_t Received = 0;
  std::thread Reader([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    while (Received < Sent.size()) {
      const auto Got = Pair.Far.fill(bootNow() + std::chrono::seconds(20));
      if (!Got)
        return;
      Received += *Got;
      Pair.Far.consume(*Got);
    }
  });
  const auto Written =
      Pair.Near.write(Sent, bootNow() + std::chrono::seconds(20));
  Reader.join();
  EXPECT_TRUE(Written);
  EXPECT_EQ(Received, Sent.size());
}

TEST(TcpConnection, DistinguishesTimeoutFromClose) {
  ConnectionPair Pair;
  const auto Late = Pair.Far.fill(bootNow() + std::chrono::milliseconds(10));
  ASSERT_FALSE(Late);
  EXPECT_EQ(Late.error().Cause, ConnectionFault::Kind::Timeout);
  Pair.Near.close();
  const auto End = Pair.Far.fill(bootNow() + std::chrono::seconds(5));
  ASSERT_FALSE(End);
  EXPECT_EQ(End.error().Cause, ConnectionFault::Kind::Closed);
}

TEST(TcpConnection, StopsWaitingWhenTheWatchedPeerGoes) {
  ConnectionPair Pair;
  ConnectionPair Watched;
  Watched.Near.close();
  const auto Ended =
      Pair.Far.fill(bootNow() + std::chrono::seconds(5), &Watched.Far);
  ASSERT_FALSE(Ended);
  EXPECT_EQ(Ended.error().Cause, ConnectionFault::Kind::Cancelled);
}

/// Guards against a response that has been received and is lost as the wait for
/// it ends.
TEST(TcpConnection, ReadsWhatIsThereWhenItsWaitsEnd) {
  ConnectionPair Pair;
  const PipeWakeup Ended;
  Pair.Far.endWaitsBy(Ended.descriptor());
  std::thread Notifier([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Ended.notify();
  });
  const Instant Limit = bootNow() + std::chrono::seconds(5);
  const auto Waited = Pair.Far.fill(Limit);
  Notifier.join();
  ASSERT_FALSE(Waited);
  EXPECT_EQ(Waited.error().Cause, ConnectionFault::Kind::Interrupted);
  EXPECT_LT(bootNow(), Limit);
  ASSERT_TRUE(Pair.Near.write("x", Limit));
  EXPECT_TRUE(Pair.Far.fill(Limit));
}

/// Sends signals to the thread that created it, to interrupt its system calls.
class SignalSender {
public:
  SignalSender() : Interrupted(pthread_self()) {
    struct sigaction Action {};
    Action.sa_handler = [](int) {};
    sigaction(SIGUSR1, &Action, &this->OldAction);
    this->Sender = std::thread([this] {
      while (!this->Ended)
        pthread_kill(this->Interrupted, SIGUSR1);
    });
  }
  ~SignalSender() {
    this->Ended = true;
    this->Sender.join();
    sigaction(SIGUSR1, &this->OldAction, nullptr);
  }
  SignalSender(const SignalSender &) = delete;
  SignalSender &operator=(const SignalSender &) = delete;

private:
  pthread_t Interrupted;
  struct sigaction OldAction {};
  std::atomic<bool> Ended{false};
  std::thread Sender;
};

// Guards against mistaking a poll that a signal interrupts for an event of the
// peer: the caller was assumed to have gone, and its request ended without a
// response.
TEST(TcpConnection, InterruptedCallReportsNoEvent) {
  const ConnectionPair Pair;
  const SignalSender Signals;
  int Gone = 0;
  int Stale = 0;
  for (int I = 0; I < 2'000; ++I) {
    Gone += Pair.Near.peerGone() ? 1 : 0;
    Stale += Pair.Near.hasInput() ? 1 : 0;
  }
  EXPECT_EQ(Gone, 0);
  EXPECT_EQ(Stale, 0);
}

} // namespace
} // namespace siskinstage
