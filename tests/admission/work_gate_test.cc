#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "components/admission/upstream_gate.h"
#include "tests/support/times.h"

namespace kingcupstair::admission {
namespace {

TEST_GROUP(WorkGate) {
  UpstreamGate gate{
      {.slots = 1,
       .warm_up = RateLimitedWarmUp{},
       .admission = WorkAdmission{.estimator = std::make_shared<WorkEstimator>(
                                      WorkEstimator::Options{}),
                                  .upstream = "u"}}};
  TicketId last = 0;

  std::vector<GateDecision> Offer(int64_t at_ms, int64_t objective_ms,
                                  int64_t deadline_ms, int64_t wait_ms) {
    return this->gate.Offer(
        {.ticket = ++this->last,
         .organisation = "o",
         .deadline = At(at_ms + deadline_ms),
         .objective = Millis(objective_ms),
         .max_wait = Millis(wait_ms),
         .work_key = {.service = "s", .objective = Millis(900)}},
        At(at_ms));
  }

  static TicketId StartedIn(const std::vector<GateDecision>& decisions) {
    const auto* start = decisions.empty()
                            ? nullptr
                            : std::get_if<StartTicket>(&decisions.back());
    return start == nullptr ? 0 : start->ticket;
  }
};

// A slot given to a request that ends late is lost to one that could end in
// time.
TEST(WorkGate, ALateRequestStartsAfterTheOthers) {
  LONGS_EQUAL(1, StartedIn(this->Offer(0, 5'000, 10'000, 5'000)));
  CHECK(this->Offer(0, 310, 10'000, 5'000).empty());
  CHECK(this->Offer(1, 5'000, 10'000, 5'000).empty());
  LONGS_EQUAL(3, StartedIn(this->gate.Finish(1, RunEnd::kSuccess, At(300))));
  LONGS_EQUAL(2, StartedIn(this->gate.Finish(3, RunEnd::kSuccess, At(600))));
}

// A caller that waits and is refused then has no time left to go elsewhere.
TEST(WorkGate, ARequestThatCannotBeServedInTimeIsRefusedAtOnce) {
  this->Offer(0, 5'000, 10'000, 5'000);
  LONGS_EQUAL(1, this->Offer(0, 400, 450, 300).size());
}

TEST(WorkGate, AWaitingRequestIsRemovedOnceItCannotStartInTime) {
  this->Offer(0, 5'000, 30'000, 5'000);
  CHECK(this->Offer(0, 5'000, 30'000, 1'000).empty());
  const auto decisions = this->gate.Tick(At(800));
  LONGS_EQUAL(1, decisions.size());
  CHECK(std::holds_alternative<RefuseTicket>(decisions[0]));
}

// An organisation whose requests look cheap, here each of a class of its own,
// got more slots than one whose work was known.
TEST(WorkGate, RequestsThatLookCheapGainNothing) {
  constexpr int64_t kHonestMs = 400;
  constexpr int64_t kDisguisedMs = 1'600;
  std::map<TicketId, bool> disguised_tickets;
  std::map<bool, int64_t> slot_time;
  int64_t now = 0;
  TicketId running = 0;
  const auto offer = [&](bool disguised) {
    disguised_tickets[++this->last] = disguised;
    const auto decisions = this->gate.Offer(
        {.ticket = this->last,
         .organisation = disguised ? "x" : "y",
         .deadline = At(now + 1'000'000),
         .max_wait = Millis(900'000),
         .work_key = {.service = "s",
                      .work_class = disguised ? 1'000 + this->last : 1}},
        At(now));
    running = StartedIn(decisions) != 0 ? StartedIn(decisions) : running;
  };
  for (int i = 0; i < 10; ++i) {
    offer(true);
    offer(false);
  }
  while (now < 1'000'000) {
    const bool disguised = disguised_tickets[running];
    const int64_t took = disguised ? kDisguisedMs : kHonestMs;
    now += took;
    slot_time[disguised] += took;
    running = StartedIn(this->gate.Finish(running, RunEnd::kSuccess, At(now)));
    offer(disguised);
  }
  DOUBLES_EQUAL(0.5,
                static_cast<double>(slot_time[true]) /
                    static_cast<double>(slot_time[true] + slot_time[false]),
                0.05);
}

// Callers that are refused together must not come back together.
TEST(WorkGate, RefusedCallersComeBackOneAfterTheOther) {
  this->Offer(0, 5'000, 10'000, 5'000);
  Duration before{};
  for (int i = 0; i < 2; ++i) {
    const auto decisions = this->Offer(0, 5'000, 30'000, 10);
    LONGS_EQUAL(1, decisions.size());
    const auto& refused = std::get<RefuseTicket>(decisions[0]).refusal;
    CHECK(refused.retry_after >= before + Millis(200));
    CHECK(refused.retry_after <= Millis(10'000));
    before = refused.retry_after;
  }
}

}  // namespace
}  // namespace kingcupstair::admission
