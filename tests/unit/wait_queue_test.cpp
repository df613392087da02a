#include "core/requests/deferred_work.h"
#include "core/requests/wait_queue.h"
#include "siskinstage/config.h"

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

class WorthQueue : public testing::Test {
protected:
  WorthQueue() {
    WaitQueue::Settings Limits;
    Limits.MaxWaiting = 10'000;
    Limits.Order = WaitQueue::OrderKind::Worth;
    this->Queue.configure(Limits);
  }
  WaitQueue Queue{1};
};

// A flexible request takes the slot of one that would miss its objective.
TEST_F(WorthQueue, TheRequestWithTheLeastTimeLeftGoesFirst) {
  WaitingRequest Patient = request(1);
  Patient.Objective = Start + Millis(1900);
  this->Queue.add(Patient, Full, Start);
  this->Queue.add(request(2), Full, Start);
  EXPECT_EQ(this->Queue.next(Start), WaitId{2});
}

// Requests of low priority fill the queue before those of a higher one.
TEST_F(WorthQueue, TheRequestOfTheLowestPriorityIsDroppedFirst) {
  std::vector<Rejected> Gone;
  std::uint64_t Id = 0;
  for (; Id < 100 && Gone.empty(); ++Id) {
    WaitingRequest Low = request(Id);
    Low.Priority = 2;
    Gone = this->Queue.add(Low, Full, Start);
  }
  for (int I = 0; I < 5; ++I)
    Gone = this->Queue.add(request(Id++), Full, Start);
  ASSERT_EQ(Gone.size(), 1U);
  EXPECT_LT(Gone[0].Id.Value, Id - 5);
  EXPECT_EQ(Gone[0].Why, Rejected::Reason::Displaced);
}

// Requests wait for capacity that has gone until their deadline.
TEST_F(WorthQueue, LostSlotsAreNoticedBeforeTheDeadline) {
  for (std::uint64_t I = 0; I < 16; ++I)
    this->Queue.add(request(I), {16, 0}, Start);
  std::size_t Told = 0;
  for (int T = 0; T <= 1200; T += 100)
    Told += this->Queue.expire({16, 0}, Start + Millis(T)).size();
  EXPECT_GE(Told, 8U);
}

// Rejected callers return together, or before there is room.
TEST_F(WorthQueue, RetryAfterGrowsWithWhatReturnsFirst) {
  DeferredWork Later(1);
  const auto Place = [&Later](std::uint32_t Priority) {
    return Later.place(Priority, Millis(400), Millis(500), 1, Start);
  };
  std::vector<Duration> Times;
  for (int I = 0; I < 6; ++I)
    Times.push_back(Place(1));
  EXPECT_GE(Times[5], Millis(2500));
  EXPECT_LE(Place(0), Millis(750));
  for (int I = 0; I < 100; ++I)
    EXPECT_LE(Place(2), config::MaxWaitRetryAfter * 3 / 2);
}

// Waiting requests are lost or counted twice when accounts come to exist.
TEST_F(WorthQueue, ANewOrderKeepsTheRequestsThatWait) {
  for (std::uint64_t I = 0; I < 4; ++I)
    this->Queue.add(request(I), Full, Start);
  this->Queue.configure({});
  EXPECT_EQ(this->Queue.next(Start), WaitId{0});
  EXPECT_EQ(this->Queue.size(), 3U);
}

// The cost of a decision grows with the number of waiting requests.
TEST_F(WorthQueue, TenThousandWaitingRequestsCostLittle) {
  const Room Many = {6000, 0};
  const auto Begin = std::chrono::steady_clock::now();
  for (std::uint64_t I = 0; I < 10'000; ++I) {
    WaitingRequest New = request(I);
    New.Account = AccountName("a" + std::to_string(I % 100));
    New.Objective = New.Deadline + Millis(I % 50);
    this->Queue.add(New, Many, Start);
  }
  EXPECT_EQ(this->Queue.size(), 10'000U);
  while (this->Queue.next(Start)) {
  }
  const auto Took = std::chrono::steady_clock::now() - Begin;
  // 20,000 decisions; one in linear time would take longer than this.
  EXPECT_LT(Took, std::chrono::seconds(2));
}

} // namespace
} // namespace siskinstage
