#ifndef COMPONENTS_HEALTH_UPSTREAM_JUDGE_H_
#define COMPONENTS_HEALTH_UPSTREAM_JUDGE_H_

#include <cstdint>
#include <deque>

#include "components/base/time.h"

namespace kingcupstair::health {

/// How a request that an upstream ran ended, for judging the upstream.
enum class Verdict {
  kGood,
  kBad,
  kNone,  ///< It says nothing about the upstream.
};

/// Judges one upstream by the requests that its guard sent it last. Answers the
/// load pattern of upstreams that hang or fail most requests for some seconds
/// while their health endpoint reports that all is well.
class UpstreamJudge {
 public:
  /// A request was sent. `objective` is the time within which its answer is as
  /// useful as it can be.
  void OnStart(uint64_t request, Duration objective, Instant now);

  void OnEnd(uint64_t request, Verdict verdict, Instant now);

  /// Whether the upstream looks unwell: most of its latest requests failed, or
  /// are out for longer than a sound upstream takes.
  bool LooksUnwell(Instant now) const;

  /// Whether requests have together been out for longer than a sound upstream
  /// would often take, and nothing good has come back since they were sent.
  /// Weaker than LooksUnwell, and known sooner.
  bool IsInDoubt(Instant now) const;

  /// Whether a request is out that may still tell more.
  bool HasUndecided(Instant now) const;

  /// Share of the latest requests that failed or hang, 0 to 1.
  double BadShare(Instant now) const;

  /// The upstream has started anew.
  void Restart() { this->requests.clear(); }

 private:
  struct Observed {
    uint64_t request = 0;
    Instant started;
    Duration objective;
    /// When it counts as hanging.
    Instant overdue;
    bool ended = false;
    Verdict verdict = Verdict::kNone;
    Instant ended_at;
  };

  struct Tally {
    int bad = 0;
    int judged = 0;
  };

  Tally Count(Instant now) const;

  Instant last_good;
  /// In the order in which they were sent.
  std::deque<Observed> requests;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_UPSTREAM_JUDGE_H_
