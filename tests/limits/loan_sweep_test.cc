#include "components/limits/loan_sweep.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::limits {
namespace {

TEST_GROUP(LoanSweep) {
  const std::set<std::string> hosts{"a", "b", "c"};
  LoanSweep sweep{{.blocked_divisor = 2, .longest = Millis(2'500)}};

  void setup() override {
    this->sweep.SetHosts(this->hosts);
  }

  void Respond(const std::string& lender, uint64_t token) {
    this->sweep.RecordResponse(
        lender, {.token = token, .hosts = DigestOfHosts(this->hosts)});
  }
};

TEST(LoanSweep, EndsTheBlocksOnceAllHostsHaveConfirmed) {
  this->Respond("a", 1);
  this->Respond("b", 2);
  this->sweep.Update(At(0));
  CHECK(this->sweep.Unconfirmed().empty());
  this->Respond("c", 0);
  this->sweep.Update(At(0));
  CHECK(this->sweep.Lenders() == (std::vector<std::string>{"a", "b"}));
  CHECK(this->sweep.Unconfirmed() == this->hosts);
  this->sweep.RecordDropped(this->sweep.number(), "a");
  this->sweep.RecordDropped(this->sweep.number(), "b");
  LONGS_EQUAL(0, this->sweep.ClearanceFor("a"));
  this->sweep.RecordDropped(this->sweep.number(), "c");
  LONGS_EQUAL(1, this->sweep.ClearanceFor("a"));
  LONGS_EQUAL(2, this->sweep.ClearanceFor("b"));
  LONGS_EQUAL(0, this->sweep.ClearanceFor("c"));
  this->sweep.Update(At(0));
  CHECK(this->sweep.Unconfirmed().empty());
}

// Guards against a confirmation that came before the lender's process started,
// and a clearance that reaches a later process.
TEST(LoanSweep, ALenderThatRestartsDuringASweepNeedsAnother) {
  for (const char* lender : {"a", "b", "c"}) {
    this->Respond(lender, 1);
  }
  this->sweep.Update(At(0));
  const uint64_t first = this->sweep.number();
  this->Respond("a", 9);
  for (const char* host : {"a", "b", "c"}) {
    this->sweep.RecordDropped(first, host);
  }
  LONGS_EQUAL(0, this->sweep.ClearanceFor("a"));
  LONGS_EQUAL(1, this->sweep.ClearanceFor("b"));
  this->Respond("b", 9);
  this->sweep.Update(At(1));
  CHECK(this->sweep.number() != first);
  this->sweep.RecordDropped(first, "a");
  LONGS_EQUAL(3, this->sweep.Unconfirmed().size());
}

TEST(LoanSweep, FewBlockedHostsOrOtherHostSetsDoNotBeginASweep) {
  this->Respond("a", 1);
  this->Respond("b", 0);
  this->Respond("c", 0);
  this->sweep.Update(At(0));
  CHECK(this->sweep.Unconfirmed().empty());
  this->sweep.RecordResponse("b", {.token = 2, .hosts = 5});
  this->sweep.Update(At(0));
  CHECK(this->sweep.Unconfirmed().empty());
}

TEST(LoanSweep, ASilentHostEndsTheSweepWithoutClearance) {
  for (const char* lender : {"a", "b", "c"}) {
    this->Respond(lender, 1);
  }
  this->sweep.Update(At(0));
  this->sweep.RecordDropped(1, "a");
  this->sweep.RecordDropped(1, "b");
  this->sweep.Update(At(2'500));
  this->sweep.RecordDropped(1, "c");
  LONGS_EQUAL(0, this->sweep.ClearanceFor("a"));
}

}  // namespace
}  // namespace kingcupstair::limits
