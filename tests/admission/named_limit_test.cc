#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "components/admission/upstream_gate.h"
#include "tests/support/times.h"

namespace kingcupstair::admission {
namespace {

constexpr int64_t kWindowMs = 4'000;

/// Load pattern: an upstream in need names a limit on new requests, and ten
/// requests a second are offered to it.
TEST_GROUP(NamedLimit) {
  UpstreamGate gate{{.slots = 6, .warm_up = RateLimitedWarmUp{.rate = 41}}};
  TicketId last = 0;

  std::vector<GateDecision> Offer(int64_t at_ms, int64_t wait_ms) {
    return this->gate.Offer({.ticket = ++this->last,
                             .organisation = "o",
                             .deadline = At(at_ms + 30'000),
                             .objective = Millis(1'000),
                             .max_wait = Millis(wait_ms)},
                            At(at_ms));
  }

  /// Returns the times of the starts from `from_ms` to `until_ms`, with
  /// responses after 200 ms.
  std::vector<int64_t> StartsUnderLoad(int64_t from_ms, int64_t until_ms,
                                       int64_t wait_ms) {
    std::vector<int64_t> starts;
    std::vector<std::pair<int64_t, TicketId>> running;
    const auto count = [&](const std::vector<GateDecision>& decisions,
                           int64_t now) {
      for (const GateDecision& decision : decisions) {
        if (const auto* start = std::get_if<StartTicket>(&decision)) {
          starts.push_back(now);
          running.emplace_back(now + 200, start->ticket);
        }
      }
    };
    for (int64_t now = from_ms; now < until_ms; now += 20) {
      while (!running.empty() && running.front().first <= now) {
        const TicketId ended = running.front().second;
        running.erase(running.begin());
        count(this->gate.Finish(ended, RunEnd::kSuccess, At(now)), now);
      }
      if (now % 100 == 0) {
        count(this->Offer(now, wait_ms), now);
      }
      count(this->gate.Tick(At(now)), now);
    }
    return starts;
  }

  static int MostInWindow(const std::vector<int64_t>& starts) {
    int most = 0;
    for (size_t first = 0; first < starts.size(); ++first) {
      const auto end = std::lower_bound(starts.begin(), starts.end(),
                                        starts[first] + kWindowMs);
      most =
          std::max(most, static_cast<int>(end - starts.begin() -
                                          static_cast<std::ptrdiff_t>(first)));
    }
    return most;
  }
};

TEST(NamedLimit, AnUpstreamGetsTheRateThatItNamesAndNoMore) {
  for (const double rate : {0.5, 1.0, 2.2, 5.0}) {
    for (const int64_t wait_ms : {0, 600}) {
      this->gate =
          UpstreamGate({.slots = 6, .warm_up = RateLimitedWarmUp{.rate = 41}});
      this->gate.SetNamedRate(rate, At(0));
      const auto starts = this->StartsUnderLoad(0, 40'000, wait_ms);
      CHECK(MostInWindow(starts) <= rate * 4 * 1.5);
      CHECK(static_cast<double>(starts.size()) >= rate * 40 * 0.8);
    }
  }
}

TEST(NamedLimit, AnUpstreamThatTakesNothingIsAskedNowAndThen) {
  this->gate.SetNamedRate(0, At(0));
  const auto starts = this->StartsUnderLoad(0, 40'000, 0);
  CHECK(starts.size() >= 4);
  CHECK(MostInWindow(starts) <= 5);
}

TEST(NamedLimit, AnUpstreamThatNamesNoLimitAnyMoreIsUsedAsBefore) {
  this->gate.SetNamedRate(1, At(0));
  this->StartsUnderLoad(0, 4'000, 0);
  this->gate.SetNamedRate(std::nullopt, At(4'000));
  LONGS_EQUAL(40, this->StartsUnderLoad(4'000, 8'000, 0).size());
}

TEST(NamedLimit, EachNewLimitBringsNoBurst) {
  int started = 0;
  for (int64_t now = 0; now < 8'000; now += 100) {
    this->gate.SetNamedRate(1 + static_cast<double>(now % 200) / 1'000,
                            At(now));
    for (const GateDecision& decision : this->Offer(now, 0)) {
      started += std::holds_alternative<StartTicket>(decision) ? 1 : 0;
    }
  }
  CHECK(started <= 10);
}

TEST(NamedLimit, ARequestThatCanNotBeServedInTimeIsRefusedAtOnce) {
  this->gate.SetNamedRate(0.5, At(0));
  const auto decisions = this->Offer(0, 600);
  LONGS_EQUAL(1, decisions.size());
  const auto* refused = std::get_if<RefuseTicket>(&decisions.front());
  CHECK(refused != nullptr);
  CHECK(refused->refusal.retry_after == Millis(2'000));
}

TEST(NamedLimit, TheLimitOfAnUpstreamEndsWithItsStart) {
  this->gate.SetNamedRate(0.5, At(0));
  this->gate.Reset();
  DOUBLES_EQUAL(0, this->gate.Report(At(0)).named_rate, 0);
}

}  // namespace
}  // namespace kingcupstair::admission
