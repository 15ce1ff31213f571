#include "components/health/upstream_judge.h"

#include <algorithm>

namespace kingcupstair::health {
namespace {

/// The latest requests that count. From the length of a spell (seconds) and
/// the rate at an upstream (some requests a second): more would dilute a spell
/// with what was before it.
constexpr int kJudged = 4;
/// Bad ones among them that make an upstream look unwell: one alone is often
/// a slow request at a sound upstream.
constexpr int kBadToLookUnwell = 2;
/// A request out for longer than this part of its objective counts as hanging.
/// Objectives are about three times what a sound upstream takes.
constexpr double kOverduePart = 0.7;
/// A request given up after this part of its objective counts as bad: that it
/// was sent elsewhere as well for want of an answer is why it was given up.
constexpr double kGivenUpLatePart = 0.5;
/// Requests that are out for this many objectives together give reason for
/// doubt: sound upstreams answer within a third of the objective on average,
/// and keep all of them waiting for three times that in one of twenty cases.
constexpr double kDoubtSum = 0.9;
/// What is known fades: the spells last for seconds.
constexpr Duration kMemory{std::chrono::seconds(6)};
constexpr size_t kMostKept = 256;

}  // namespace

void UpstreamJudge::OnStart(const Sent& sent, Instant now) {
  const bool timed = sent.objective > Duration{};
  this->requests.push_back(
      {.request = sent.request,
       .started = now,
       .objective = sent.objective,
       .once_only = sent.once_only,
       .overdue = timed ? now + PartOf(sent.objective, kOverduePart)
                        : Instant::max()});
  while (this->requests.size() > kMostKept) {
    this->requests.pop_front();
  }
}

void UpstreamJudge::OnEnd(uint64_t request, Verdict verdict, Instant now) {
  const auto found = std::find_if(
      this->requests.begin(), this->requests.end(),
      [&](const Observed& each) { return each.request == request; });
  if (found == this->requests.end()) {
    return;
  }
  const bool given_up_late =
      verdict == Verdict::kNone && found->objective > Duration{} &&
      now - found->started >= PartOf(found->objective, kGivenUpLatePart);
  found->ended = true;
  found->verdict = given_up_late ? Verdict::kBad : verdict;
  found->ended_at = now;
  if (verdict == Verdict::kGood) {
    this->last_good = now;
  }
  std::erase_if(this->requests, [&](const Observed& each) {
    return each.ended && now - each.ended_at > kMemory;
  });
}

// The latest by the time of sending: what was sent before a spell began and
// ended well says nothing about the spell.
UpstreamJudge::Tally UpstreamJudge::Count(Instant now) const {
  Tally tally;
  for (auto at = this->requests.rbegin();
       at != this->requests.rend() && tally.judged < kJudged; ++at) {
    const bool hangs = !at->ended && now >= at->overdue;
    const bool faded = at->ended && now - at->ended_at > kMemory;
    const bool says_something =
        hangs || (at->ended && at->verdict != Verdict::kNone);
    if (!says_something || faded) {
      continue;
    }
    ++tally.judged;
    tally.bad += hangs || at->verdict == Verdict::kBad ? 1 : 0;
  }
  return tally;
}

bool UpstreamJudge::LooksUnwell(Instant now) const {
  return this->Count(now).bad >= kBadToLookUnwell;
}

bool UpstreamJudge::IsInDoubt(Instant now) const {
  double silence = 0;
  for (const Observed& each : this->requests) {
    if (!each.ended && each.objective > Duration{} &&
        this->last_good <= each.started) {
      silence += ToSeconds(now - each.started) / ToSeconds(each.objective);
    }
  }
  return silence >= kDoubtSum;
}

bool UpstreamJudge::HasUndecided(Instant now) const {
  return std::any_of(
      this->requests.begin(), this->requests.end(),
      [&](const Observed& each) { return !each.ended && now < each.overdue; });
}

int UpstreamJudge::OnceOnlySinceGood() const {
  return static_cast<int>(std::count_if(
      this->requests.begin(), this->requests.end(), [&](const Observed& each) {
        return !each.ended && each.once_only && this->last_good <= each.started;
      }));
}

void UpstreamJudge::Restart() {
  this->requests.clear();
  this->last_good = {};
}

}  // namespace kingcupstair::health
