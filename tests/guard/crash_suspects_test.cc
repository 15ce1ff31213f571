#include "components/guard/crash_suspects.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::guard {
namespace {

constexpr once::Fingerprint kGuilty = 7;
constexpr once::Fingerprint kOther = 8;

TEST_GROUP(CrashSuspects) {
  CrashSuspects suspects{{}};

  void Run(uint64_t ticket, once::Fingerprint fingerprint, RunReply reply,
           int64_t from_ms, int64_t until_ms) {
    this->suspects.OnStart(ticket, fingerprint, At(from_ms));
    this->suspects.OnEnd(ticket, reply, At(until_ms));
  }
};

TEST(CrashSuspects, ARunThatTimedOutBeforeTheRestartIsASuspect) {
  this->Run(1, kGuilty, RunReply::kNone, 0, 2'000);
  const auto found = this->suspects.TakeAll(At(5'000));
  CHECK(found ==
        (std::vector<CrashSuspect>{{.fingerprint = kGuilty, .at = At(2'000)}}));
}

TEST(CrashSuspects, ARunThatIsWaitingWhenTheUpstreamRestartsIsASuspect) {
  this->suspects.OnStart(1, kGuilty, At(0));
  LONGS_EQUAL(0, this->suspects.TakeEnded(At(1'000)).size());
  LONGS_EQUAL(1, this->suspects.TakeAll(At(1'000)).size());
}

TEST(CrashSuspects, ARunOfAnEarlierStartIsNoSuspectOfTheNextCrash) {
  this->suspects.OnStart(1, kGuilty, At(0));
  this->suspects.TakeAll(At(1'000));
  this->suspects.OnEnd(1, RunReply::kNone, At(1'010));
  LONGS_EQUAL(0, this->suspects.TakeAll(At(2'000)).size());
}

// An upstream that restarts under its id answers before it announces its new
// start, and the answer cleared the request that had crashed it.
TEST(CrashSuspects, AnAnswerOfTheNextStartDoesNotClearTheCrashOfTheLast) {
  this->Run(1, kGuilty, RunReply::kNone, 0, 100);
  this->Run(2, kOther, RunReply::kAnswered, 200, 300);
  const auto found = this->suspects.TakeAll(At(400));
  LONGS_EQUAL(1, found.size());
  CHECK(found.front().fingerprint == kGuilty);
}

TEST(CrashSuspects, AnAnnouncementOfTheStartThatAnsweredClearsEarlierRuns) {
  this->Run(1, kOther, RunReply::kNone, 0, 100);
  this->Run(2, kOther, RunReply::kAnswered, 200, 300);
  this->suspects.OnAnnounced();
  this->Run(3, kGuilty, RunReply::kNone, 400, 500);
  const auto found = this->suspects.TakeEnded(At(600));
  LONGS_EQUAL(1, found.size());
  CHECK(found.front().fingerprint == kGuilty);
}

TEST(CrashSuspects, AnAnnouncementWithoutAnAnswerProvesNothing) {
  this->Run(1, kGuilty, RunReply::kNone, 0, 100);
  this->suspects.OnAnnounced();
  LONGS_EQUAL(1, this->suspects.TakeEnded(At(200)).size());
}

TEST(CrashSuspects, AnAnswerToARunThatWasSentBeforeProvesNothing) {
  this->suspects.OnStart(1, kOther, At(0));
  this->Run(2, kGuilty, RunReply::kNone, 0, 100);
  this->suspects.OnEnd(1, RunReply::kAnswered, At(200));
  this->suspects.OnAnnounced();
  LONGS_EQUAL(1, this->suspects.TakeEnded(At(300)).size());
}

TEST(CrashSuspects, ARunThatEndedLongBeforeTheCrashIsNoSuspect) {
  this->Run(1, kOther, RunReply::kNone, 0, 100);
  LONGS_EQUAL(0, this->suspects.TakeAll(At(60'000)).size());
}

TEST(CrashSuspects, ARequestThatWasNotSentIsNoSuspect) {
  this->Run(1, kOther, RunReply::kNotSent, 0, 100);
  LONGS_EQUAL(0, this->suspects.TakeAll(At(200)).size());
}

}  // namespace
}  // namespace kingcupstair::guard
