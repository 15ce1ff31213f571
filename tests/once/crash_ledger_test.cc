#include "components/once/crash_ledger.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::once {
namespace {

TEST_GROUP(CrashLedger) {
  CrashLedger ledger{{}};

  void AddCrash(Fingerprint fingerprint, const char* upstream, int64_t at_ms) {
    this->ledger.Add({.fingerprint = fingerprint, .upstream = upstream},
                     At(at_ms), At(at_ms));
  }
};

TEST(CrashLedger, RefusesAfterCrashesOfTwoUpstreams) {
  this->AddCrash(7, "a", 0);
  this->AddCrash(7, "a", 1'000);
  CHECK(this->ledger.RefusedFor(7, At(2'000)) == Duration{});
  this->AddCrash(7, "b", 3'000);
  CHECK(this->ledger.RefusedFor(7, At(4'000)) > Duration{});
  CHECK(this->ledger.RefusedFor(8, At(4'000)) == Duration{});
}

TEST(CrashLedger, RefusesUntilTheEvidenceExpires) {
  this->AddCrash(7, "a", 0);
  this->AddCrash(7, "b", 1'000);
  const Duration refused = this->ledger.RefusedFor(7, At(1'000));
  CHECK(refused == std::chrono::minutes(10) - Millis(1'000));
  CHECK(this->ledger.RefusedFor(7, At(1'000) + refused) == Duration{});
}

TEST(CrashLedger, ARequestThatRanWithoutACrashIsClearedOfEarlierCrashes) {
  this->AddCrash(7, "a", 0);
  this->AddCrash(7, "b", 10);
  CHECK(this->ledger.Clear(7, At(20)));
  CHECK(this->ledger.RefusedFor(7, At(20)) == Duration{});
  CHECK_FALSE(
      this->ledger.Add({.fingerprint = 7, .upstream = "c"}, At(5), At(30)));
  LONGS_EQUAL(0, this->ledger.CountCrashes(7, At(30)));
}

TEST(CrashLedger, CrashesAfterAClearanceCount) {
  this->AddCrash(7, "a", 0);
  this->ledger.Clear(7, At(10));
  this->AddCrash(7, "b", 20);
  this->AddCrash(7, "c", 30);
  CHECK(this->ledger.RefusedFor(7, At(40)) > Duration{});
}

TEST(CrashLedger, PeersAgreeOnAClearedRequestInAnyOrderOfMessages) {
  CrashLedger evidence_first({});
  CrashLedger clearance_first({});
  this->AddCrash(7, "a", 0);
  const auto evidence = this->ledger.Current(At(5)).front();
  this->ledger.Clear(7, At(10));
  const auto clearance = this->ledger.Clearances(At(15)).front();
  evidence_first.Add(evidence.evidence, At(5) - evidence.age, At(15));
  evidence_first.AddClearance(7, At(15) - clearance.age, At(15));
  clearance_first.AddClearance(7, At(15) - clearance.age, At(15));
  clearance_first.Add(evidence.evidence, At(5) - evidence.age, At(15));
  LONGS_EQUAL(0, evidence_first.CountCrashes(7, At(15)));
  LONGS_EQUAL(0, clearance_first.CountCrashes(7, At(15)));
}

TEST(CrashLedger, HostsDoNotRenewEvidenceForEachOther) {
  CrashLedger other({});
  this->AddCrash(7, "a", 0);
  const Instant late = At(9 * 60'000);
  for (const AgedEvidence& aged : this->ledger.Current(late)) {
    other.Add(aged.evidence, late - aged.age, late);
  }
  LONGS_EQUAL(1, other.Current(late).size());
  LONGS_EQUAL(0, other.Current(At(10 * 60'000)).size());
}

}  // namespace
}  // namespace kingcupstair::once
