#include "components/once/kept_evidence.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/support/times.h"

namespace kingcupstair::once {
namespace {

constexpr Duration kLifetime{std::chrono::minutes(10)};

TEST_GROUP(KeptEvidence) {
  KeptEvidence kept{kLifetime};
};

// Evidence that is found during a write is not in what was written.
TEST(KeptEvidence, NewsDuringAWriteNeedsAnotherWrite) {
  CHECK(this->kept.IsKept(7));
  CHECK_FALSE(this->kept.IsWriteDue());
  this->kept.OnNews(7, At(0));
  const uint64_t written = this->kept.LatestNews();
  this->kept.OnNews(8, At(1));
  this->kept.OnKept(written);
  CHECK(this->kept.IsKept(7));
  CHECK_FALSE(this->kept.IsKept(8));
  CHECK(this->kept.IsWriteDue());
  this->kept.OnKept(this->kept.LatestNews());
  CHECK_FALSE(this->kept.IsWriteDue());
}

TEST(KeptEvidence, AClearanceAfterTheWriteNeedsAnotherWrite) {
  this->kept.OnNews(7, At(0));
  this->kept.OnKept(this->kept.LatestNews());
  this->kept.OnNews(7, At(10));
  CHECK_FALSE(this->kept.IsKept(7));
}

TEST(KeptEvidence, IsWrittenAgainAfterARestoreUnlessItHasExpired) {
  this->kept.OnNews(7, At(0));
  this->kept.OnNews(8, At(1'000));
  this->kept.OnKept(this->kept.LatestNews());
  this->kept.Expire(At(0) + kLifetime);
  this->kept.OnStoreRestored();
  CHECK(this->kept.IsKept(7));
  CHECK_FALSE(this->kept.IsKept(8));
}

TEST_GROUP(SelectEvidence) {
  CrashLedger ledger{{}};

  void AddCrash(Fingerprint fingerprint, const std::string& upstream,
                int64_t at_ms) {
    this->ledger.Add({.fingerprint = fingerprint, .upstream = upstream},
                     At(at_ms), At(at_ms));
  }
};

// Crashes of other upstreams with many requests in flight each must not
// displace the evidence of a request that is refused.
TEST(SelectEvidence, KeepsRefusedRequestsWhenThereIsTooMuch) {
  this->AddCrash(7, "a", 0);
  this->AddCrash(7, "b", 10);
  for (int i = 0; i < 100; ++i) {
    this->AddCrash(100 + static_cast<Fingerprint>(i), "c", 20 + i);
  }
  const EvidenceContent content = SelectEvidence(this->ledger, At(200), 10);
  LONGS_EQUAL(10, content.crashes.size());
  CrashLedger restarted({});
  for (const AgedEvidence& crash : content.crashes) {
    restarted.Add(crash.evidence, At(300) - crash.age, At(300));
  }
  CHECK(restarted.RefusedFor(7, At(300)) > Duration{});
  LONGS_EQUAL(1, restarted.CountCrashes(199, At(300)));
}

TEST(SelectEvidence, HasClearancesAndNotWhatTheyCover) {
  this->AddCrash(7, "a", 0);
  const EvidenceContent before = SelectEvidence(this->ledger, At(5), 10);
  this->ledger.Clear(7, At(10));
  const EvidenceContent after = SelectEvidence(this->ledger, At(20), 10);
  LONGS_EQUAL(0, after.crashes.size());
  LONGS_EQUAL(1, after.clearances.size());
  CHECK_FALSE(HasAllOf(before, after));
  CHECK(HasAllOf(after, after));
}

TEST_GROUP(EvidenceWait) {
  EvidenceWait wait{Millis(500)};
};

// A host that can't use its upstreams for another reason must not use up the
// wait meanwhile.
TEST(EvidenceWait, BeginsWhenNothingElsePreventsTheUseOfUpstreams) {
  CHECK_FALSE(this->wait.HasBegun());
  CHECK_FALSE(this->wait.IsOver(At(60'000)));
  CHECK(this->wait.HasBegun());
  CHECK_FALSE(this->wait.IsOver(At(60'499)));
  CHECK(this->wait.IsOver(At(60'500)));
}

TEST(EvidenceWait, IsOverOnceTheEvidenceIsLearned) {
  CHECK_FALSE(this->wait.IsOver(At(0)));
  this->wait.OnLearned();
  CHECK(this->wait.IsOver(At(1)));
}

}  // namespace
}  // namespace kingcupstair::once
