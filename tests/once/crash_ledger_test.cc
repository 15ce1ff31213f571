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

  /// Sends all that `from` knows to `to`.
  static void Tell(const CrashLedger& from, CrashLedger& to, int64_t sent_ms,
                   int64_t received_ms) {
    const Instant received = At(received_ms);
    for (const auto& cleared : from.Clearances(At(sent_ms))) {
      to.AddClearance(cleared.evidence, received - cleared.age, received);
    }
    for (const auto& crash : from.Current(At(sent_ms))) {
      to.Add(crash.evidence, received - crash.age, received);
    }
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
  LONGS_EQUAL(0, this->ledger.CountCrashes(7, At(30)));
  // Copies of the evidence that are still under way stay cleared.
  CHECK_FALSE(
      this->ledger.Add({.fingerprint = 7, .upstream = "a"}, At(25), At(30)));
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
  const CrashLedger before = this->ledger;
  this->ledger.Clear(7, At(10));
  Tell(before, evidence_first, 5, 15);
  Tell(this->ledger, evidence_first, 15, 15);
  Tell(this->ledger, clearance_first, 15, 15);
  Tell(before, clearance_first, 5, 15);
  LONGS_EQUAL(0, evidence_first.CountCrashes(7, At(15)));
  LONGS_EQUAL(0, clearance_first.CountCrashes(7, At(15)));
}

// Each host took the time at which a clearance reached it for a later
// clearance, and passed that on, so that the clearance covered later crashes.
TEST(CrashLedger, ACrashIsNotTakenBackByASuccessBeforeIt) {
  CrashLedger peer({});
  this->AddCrash(7, "a", 0);
  this->ledger.Clear(7, At(10));
  for (int64_t at = 20; at < 1'000; at += 40) {
    Tell(this->ledger, peer, at, at + 20);
    Tell(peer, this->ledger, at + 20, at + 40);
  }
  this->AddCrash(7, "b", 500);
  this->AddCrash(7, "c", 510);
  Tell(this->ledger, peer, 1'100, 1'120);
  LONGS_EQUAL(2, this->ledger.CountCrashes(7, At(1'200)));
  LONGS_EQUAL(2, peer.CountCrashes(7, At(1'200)));
}

// A host heard of a success sooner than of a crash after it, and took the crash
// for the earlier of the two.
TEST(CrashLedger, AClearanceDoesNotCoverACrashThatItsHostDidNotKnow) {
  CrashLedger busy({});
  CrashLedger far({});
  this->AddCrash(7, "a", 0);
  this->ledger.Clear(7, At(10));
  Tell(this->ledger, far, 10, 400);
  busy.Add({.fingerprint = 7, .upstream = "b"}, At(200), At(200));
  Tell(busy, far, 390, 400);
  LONGS_EQUAL(1, far.CountCrashes(7, At(500)));
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
