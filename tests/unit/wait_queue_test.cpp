#include "core/requests/wait_queue.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

const Instant Start = Instant(std::chrono::hours(1));
const Room Full = {4, 0};

WaitingRequest request(std::uint64_t Id, Duration After = {}) {
  WaitingRequest Made;
  Made.Id = {Id};
  Made.Arrived = Start + After;
  Made.Deadline = Made.Arrived + Millis(2000);
  Made.Objective = Made.Arrived + Millis(1000);
  Made.Work = Millis(400);
  Made.Bytes = 1000;
  return Made;
}

// A retry that is added again keeps its place.
TEST(WaitQueue, RequestsAreServedInOrderOfArrival) {
  WaitQueue Queue(1);
  EXPECT_TRUE(Queue.add(request(2, Millis(1)), Full, Start).empty());
  EXPECT_TRUE(Queue.add(request(1), Full, Start + Millis(2)).empty());
  EXPECT_EQ(Queue.next(Start + Millis(3)), WaitId{1});
  EXPECT_EQ(Queue.next(Start + Millis(3)), WaitId{2});
  EXPECT_EQ(Queue.next(Start + Millis(3)), std::nullopt);
  EXPECT_EQ(Queue.bytes(), 0U);
}

// A slot stays free although another request could use it.
TEST(WaitQueue, RequestsThatCannotUseTheSlotAreSkipped) {
  WaitQueue Queue(1);
  Queue.add(request(1), Full, Start);
  Queue.add(request(2), Full, Start);
  EXPECT_EQ(Queue.next(Start, [](WaitId Id) { return Id == WaitId{2}; }),
            WaitId{2});
  EXPECT_EQ(Queue.size(), 1U);
}

// Requests wait for slots that become free after their deadlines.
TEST(WaitQueue, WhatCannotBeServedInTimeIsRejectedAtOnce) {
  WaitQueue Queue(1);
  std::vector<Rejected> Gone;
  for (std::uint64_t I = 0; I < 30 && Gone.empty(); ++I)
    Gone = Queue.add(request(I), Full, Start);
  ASSERT_EQ(Gone.size(), 1U);
  EXPECT_EQ(Gone[0].Why, Rejected::Reason::TooLate);
  // 1.6 s of waiting at 4 slots for 400 ms each.
  EXPECT_EQ(Queue.size(), 17U);
}

// Requests stay in the queue after no response can reach them in time.
TEST(WaitQueue, RequestsThatAreTooLateExpire) {
  WaitQueue Queue(1);
  Queue.add(request(1), Full, Start);
  ASSERT_EQ(Queue.nextExpiry(), Start + Millis(1600) + Duration(1));
  EXPECT_TRUE(Queue.expire(Full, Start + Millis(1600)).empty());
  EXPECT_EQ(Queue.expire(Full, *Queue.nextExpiry()).size(), 1U);
  EXPECT_EQ(Queue.nextExpiry(), std::nullopt);
}

// The memory of waiting requests has no bound.
TEST(WaitQueue, WaitingRequestsAreBoundedInNumberAndBytes) {
  WaitQueue Queue(1);
  Queue.configure({2, 2500, Millis(2000)});
  WaitingRequest Large = request(1);
  Large.Bytes = 2000;
  EXPECT_TRUE(Queue.add(Large, Full, Start).empty());
  const auto Gone = Queue.add(request(2), Full, Start);
  ASSERT_EQ(Gone.size(), 1U);
  EXPECT_EQ(Gone[0].Why, Rejected::Reason::Full);
  Queue.remove({1});
  EXPECT_TRUE(Queue.add(request(2), Full, Start).empty());
  EXPECT_TRUE(Queue.add(request(3), Full, Start).empty());
  EXPECT_EQ(Queue.add(request(4), Full, Start).size(), 1U);
}

} // namespace
} // namespace siskinstage
