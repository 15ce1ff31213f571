#include "components/http/byte_budget.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::http {
namespace {

using Grant = ByteBudget::Grant;
using Kind = ByteBudget::Kind;

constexpr size_t kBytes = 1000;
constexpr size_t kSmall = 10;
constexpr Duration kStep{std::chrono::milliseconds(500)};
constexpr Duration kMaxWait{std::chrono::seconds(5)};

TEST_GROUP(ByteBudget) {
  ByteBudget budget{{.bytes = kBytes,
                     .small_bytes = kSmall,
                     .max_step_time = kStep,
                     .max_wait = kMaxWait}};
  Instant now{};

  ByteBudget::HolderId Holding(Kind kind, size_t bytes) {
    const auto id = this->budget.Add(kind, this->now);
    CHECK(this->budget.TryGrow(id, bytes, this->now) == Grant::kGranted);
    return id;
  }
  /// Asks to start a request that holds nothing yet.
  Grant Start(size_t bytes) {
    const auto id = this->budget.Add(Kind::kRequest, this->now);
    return this->budget.TryStart(id, bytes, this->now);
  }
  Grant Grow(ByteBudget::HolderId id, size_t bytes) {
    return this->budget.TryGrow(id, bytes, this->now);
  }
};

// Bodies that stop just short of their end held the memory of the process.
TEST(ByteBudget, ClosesTheRequestThatStallsLongestWhileAnotherWaits) {
  const auto oldest = this->Holding(Kind::kRequest, 300);
  this->now += Duration(1);
  const auto stalled = this->Holding(Kind::kRequest, 200);
  const auto waiting = this->budget.Add(Kind::kRequest, this->now);
  CHECK(this->Grow(waiting, 100) == Grant::kWait);
  CHECK_FALSE(this->budget.TakeClosed().has_value());
  this->now += kStep;
  this->budget.OnProgress(oldest, this->now);
  CHECK(this->Grow(waiting, 100) == Grant::kWait);
  CHECK(this->budget.TakeClosed() == stalled);
  CHECK_FALSE(this->budget.TakeClosed().has_value());
  CHECK(this->Grow(stalled, 300) == Grant::kClose);
  this->budget.Remove(stalled);
  CHECK(this->Grow(waiting, 100) == Grant::kGranted);
}

TEST(ByteBudget, RequestInProgressIsNotClosed) {
  const auto running = this->Holding(Kind::kRequest, 500);
  this->budget.Pin(running);
  const auto waiting = this->budget.Add(Kind::kRequest, this->now);
  this->now += 10 * kStep;
  CHECK(this->Grow(waiting, 400) == Grant::kWait);
  CHECK_FALSE(this->budget.TakeClosed().has_value());
  this->now += kMaxWait;
  CHECK(this->Grow(waiting, 400) == Grant::kClose);
}

TEST(ByteBudget, SmallRequestIsServedWhileLargeOnesWait) {
  this->Holding(Kind::kRequest, 500);
  const auto large = this->budget.Add(Kind::kRequest, this->now);
  CHECK(this->Grow(large, 400) == Grant::kWait);
  this->Holding(Kind::kRequest, kSmall);
}

// A crowd of pipelined requests held all memory, so that no response was read.
TEST(ByteBudget, SmallRequestsInProgressLeaveRoomForResponses) {
  for (size_t held = 0; held < kBytes / 2; held += kSmall) {
    CHECK(this->Start(kSmall) == Grant::kGranted);
  }
  CHECK(this->Start(kSmall) == Grant::kWait);
  this->Holding(Kind::kRequest, kSmall);
  this->Holding(Kind::kResponse, kBytes / 4);
}

TEST(ByteBudget, OldestWaitingRequestGoesFirst) {
  const auto first = this->Holding(Kind::kRequest, 500);
  const auto older = this->budget.Add(Kind::kRequest, this->now);
  const auto younger = this->budget.Add(Kind::kRequest, this->now);
  CHECK(this->Grow(older, 400) == Grant::kWait);
  CHECK(this->Grow(younger, 100) == Grant::kWait);
  this->budget.Remove(first);
  CHECK(this->Grow(younger, 100) == Grant::kWait);
  CHECK(this->Grow(older, 400) == Grant::kGranted);
  CHECK(this->Grow(younger, 100) == Grant::kGranted);
}

// Requests that all wait for what the others hold would wait for ever.
TEST(ByteBudget, YoungestGoesWhenAllRequestsWait) {
  const auto older = this->Holding(Kind::kRequest, 200);
  const auto younger = this->Holding(Kind::kRequest, 300);
  CHECK(this->Grow(older, 400) == Grant::kWait);
  CHECK(this->Grow(younger, 400) == Grant::kClose);
  this->budget.Remove(younger);
  CHECK(this->Grow(older, 400) == Grant::kGranted);
}

TEST(ByteBudget, MessageLongerThanTheBudgetPassesAlone) {
  const auto request = this->Holding(Kind::kRequest, 5 * kBytes);
  this->budget.Pin(request);
  const auto response = this->Holding(Kind::kResponse, 5 * kBytes);
  const auto second = this->budget.Add(Kind::kResponse, this->now);
  CHECK(this->Grow(second, 100) == Grant::kWait);
  this->budget.Remove(response);
  CHECK(this->Grow(second, 100) == Grant::kGranted);
}

TEST(ByteBudget, ResponseOfASlowReaderIsClosedOnlyWhileItIsWritten) {
  const auto first = this->Holding(Kind::kResponse, 800);
  const auto exempt = this->Holding(Kind::kResponse, 800);
  const auto waiting = this->budget.Add(Kind::kResponse, this->now);
  this->now += 10 * kStep;
  CHECK(this->Grow(waiting, 400) == Grant::kWait);
  CHECK_FALSE(this->budget.TakeClosed().has_value());
  this->budget.Unpin(first, this->now);
  this->budget.Unpin(exempt, this->now);
  this->now += kStep / 2;
  this->budget.OnProgress(exempt, this->now);
  this->now += kStep / 2;
  CHECK(this->Grow(waiting, 400) == Grant::kWait);
  CHECK(this->budget.TakeClosed() == first);
}

TEST(ByteBudget, WithoutALimitAllIsGranted) {
  this->budget = ByteBudget({});
  const auto request = this->Holding(Kind::kRequest, 100 * kBytes);
  this->Holding(Kind::kRequest, 100 * kBytes);
  this->budget.Remove(request);
  LONGS_EQUAL(100 * kBytes, this->budget.used());
}

}  // namespace
}  // namespace kingcupstair::http
