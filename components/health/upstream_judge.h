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
  struct Sent {
    uint64_t request = 0;
    /// The time within which an answer is as useful as it can be.
    Duration objective{};
    /// It is lost for good if the upstream does not answer it.
    bool once_only = false;
  };

  /// A request was sent.
  void OnStart(const Sent& sent, Instant now);

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

  /// Requests out that may run only once and were sent since the last good
  /// answer: what is lost if the upstream has begun to hang.
  int OnceOnlySinceGood() const;

  /// The upstream has started anew.
  void Restart();

 private:
  struct Observed {
    uint64_t request = 0;
    Instant started;
    Duration objective;
    bool once_only = false;
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
