#include "node/drain_state.h"
#include "node/targets/target_exchange.h"
#include "siskinstage/config.h"
#include "unit/connection_pair.h"

#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>

namespace siskinstage {
namespace {

constexpr Millis RequestTime{5000};
constexpr std::size_t LastPartBytes = 1024;
constexpr std::size_t UploadBytes =
    config::ReplayBufferBytes + 64 * 1024 + LastPartBytes;

/// Reads \p Bytes bytes, or until the connection ends.
void readBytes(TcpConnection &From, std::size_t Bytes) {
  const Instant Deadline = bootNow() + RequestTime;
  while (From.buffered().size() < Bytes && From.fill(Deadline))
    ;
}

// Guards against reuse of a connection on which the write of the last part of
// an upload has failed: the target reads the next request as the missing part.
TEST(TargetExchange, AConnectionWithAnUnfinishedUploadIsNotReused) {
  ConnectionPair Caller;
  ConnectionPair Target;
  const Instant Deadline = bootNow() + RequestTime;
  const int TargetDescriptor = Target.Near.descriptor();
  const DrainState Drain;
  RequestBody Body(Caller.Far, FixedBody{UploadBytes}, false, Deadline, Drain);
  std::thread Outside([&] {
    static_cast<void>(Caller.Near.write(
        std::string(UploadBytes - LastPartBytes, 'u'), Deadline));
    readBytes(Target.Far, 1);
    readBytes(Target.Far,
              headLength(Target.Far.buffered()) + UploadBytes - LastPartBytes);
    // The exchange waits for the last part now, whose write is to fail.
    ::shutdown(TargetDescriptor, SHUT_WR);
    static_cast<void>(
        Caller.Near.write(std::string(LastPartBytes, 'u'), Deadline));
    readBytes(Target.Far, UploadBytes + config::MaxHeaderBytes);
    static_cast<void>(
        Target.Far.write("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n"
                         "Siskinstage-Outcome: not-run\r\n\r\nbusy",
                         Deadline));
  });
  ASSERT_TRUE(Body.fillReplayBuffer());
  ExchangeParams Params;
  Params.Head = Poco::Net::HTTPRequest("POST", "/", "HTTP/1.1");
  Params.Body = &Body;
  Params.Deadline = Deadline;
  TargetExchange Exchange(
      PooledConnection{std::move(Target.Near), bootNow(), bootNow(), false},
      std::move(Params));
  const auto Run = Exchange.run();
  Outside.join();
  ASSERT_TRUE(Run) << Run.error().Attempt.Reason;
  ASSERT_TRUE(Exchange.bufferBody(config::ReplayBufferBytes));
  EXPECT_EQ(Exchange.response().Status, 503);
  EXPECT_TRUE(Exchange.complete());
  EXPECT_FALSE(Exchange.isRequestBodyUnread());
  ConnectionPool Pool;
  Exchange.finish(Pool);
  EXPECT_EQ(Pool.idleCount(), 0U);
}

} // namespace
} // namespace siskinstage
