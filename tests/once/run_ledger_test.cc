#include "components/once/run_ledger.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "components/once/key_index.h"
#include "tests/support/times.h"

namespace kingcupstair::once {
namespace {

bool IsNotRun(const Resolution& resolution) {
  const auto* outcome = std::get_if<Outcome>(&resolution);
  return outcome != nullptr && std::holds_alternative<NotRun>(*outcome);
}

TEST_GROUP(RunLedger) {
  RunLedger ledger{{}};
};

TEST(RunLedger, ResolvingAnUnknownRequestFencesIt) {
  CHECK(IsNotRun(this->ledger.Resolve("r", At(0))));
  CHECK(this->ledger.Accept("r", At(1)) == AcceptResult::kFenced);
}

TEST(RunLedger, ResolvingAQueuedRequestFencesIt) {
  CHECK(this->ledger.Accept("r", At(0)) == AcceptResult::kAccepted);
  CHECK(IsNotRun(this->ledger.Resolve("r", At(1))));
  CHECK_FALSE(this->ledger.TryMarkForwarded("r"));
}

TEST(RunLedger, ARunningRequestResolvesAsStillRunning) {
  this->ledger.Accept("r", At(0));
  CHECK(this->ledger.TryMarkForwarded("r"));
  CHECK(std::holds_alternative<StillRunning>(this->ledger.Resolve("r", At(1))));
}

TEST(RunLedger, AFinishedRequestResolvesToItsResponse) {
  const Outcome ran = Ran{.response = {.status = 201, .body = "done"}};
  this->ledger.Accept("r", At(0));
  this->ledger.TryMarkForwarded("r");
  this->ledger.Finish("r", ran, At(1));
  CHECK(Resolution{ran} == this->ledger.Resolve("r", At(2)));
  CHECK(this->ledger.Accept("r", At(3)) == AcceptResult::kDuplicate);
}

TEST(RunLedger, AFenceIsKeptBesideManyOutcomes) {
  RunLedger small({.max_retained_bytes = 2});
  small.Resolve("fenced", At(0));
  for (int i = 0; i < 10; ++i) {
    const std::string id = std::to_string(i);
    small.Accept(id, At(i));
    small.TryMarkForwarded(id);
    small.Finish(id, Ran{}, At(i));
  }
  CHECK(small.Accept("fenced", At(11)) == AcceptResult::kFenced);
}

TEST(RunLedger, ADroppedResponseResolvesAsUnknown) {
  RunLedger small({.max_retained_bytes = 1'000});
  for (int i = 0; i < 10; ++i) {
    const std::string id = std::to_string(i);
    small.Accept(id, At(i));
    small.TryMarkForwarded(id);
    small.Finish(id, Ran{.response = {.body = std::string(400, 'x')}}, At(i));
  }
  const auto resolution = small.Resolve("0", At(20));
  CHECK_FALSE(IsNotRun(resolution));
  const auto* outcome = std::get_if<Outcome>(&resolution);
  CHECK(outcome != nullptr && std::holds_alternative<Unknown>(*outcome));
  CHECK(small.Accept("0", At(21)) == AcceptResult::kDuplicate);
  CHECK_FALSE(small.TryMarkForwarded("0"));
}

// Copies of one request arrive, are resolved, sent to the upstream and finished
// in any order. The request is sent at most once, and never after it was
// resolved as "not run".
TEST(RunLedger, RunsARequestAtMostOnceInAnyOrderOfEvents) {
  const bool passed = rc::check("at most once, and 'not run' is true", [] {
    RunLedger ledger({});
    int runs = 0;
    bool resolved_not_run = false;
    const auto steps =
        *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 4));
    for (const int step : steps) {
      const Instant now = At(0);
      if (step == 0) {
        ledger.Accept("r", now);
      } else if (step == 1 && ledger.TryMarkForwarded("r")) {
        ++runs;
        RC_ASSERT(!resolved_not_run);
      } else if (step == 2 && runs == 1) {
        ledger.Finish("r", Ran{}, now);
      } else if (step == 3) {
        resolved_not_run =
            IsNotRun(ledger.Resolve("r", now)) || resolved_not_run;
        RC_ASSERT(!(resolved_not_run && runs > 0));
      }
    }
    RC_ASSERT(runs <= 1);
  });
  CHECK(passed);
}

TEST_GROUP(KeyIndex){};

TEST(KeyIndex, FindsTheLastAttemptUntilTheRetentionEnds) {
  KeyIndex index({.retention = Millis(100)});
  CHECK_FALSE(index.Find("k", At(0)).has_value());
  index.Bind("k", "first", At(0));
  index.Bind("k", "second", At(10));
  STRCMP_EQUAL("second", index.Find("k", At(20))->c_str());
  CHECK_FALSE(index.Find("k", At(100)).has_value());
}

}  // namespace
}  // namespace kingcupstair::once
