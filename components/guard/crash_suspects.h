#ifndef COMPONENTS_GUARD_CRASH_SUSPECTS_H_
#define COMPONENTS_GUARD_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "components/base/time.h"
#include "components/once/crash_ledger.h"

namespace kingcupstair::guard {

/// A run that may have crashed its upstream.
struct CrashSuspect {
  once::Fingerprint fingerprint = 0;
  /// Time at which the run ended, or at which the crash was found if the run
  /// had not ended by then.
  Instant at;

  bool operator==(const CrashSuspect&) const = default;
};

/// How a run ended, as far as it tells whether the upstream crashed.
enum class RunReply {
  kAnswered,  ///< The upstream sent a complete response.
  kNone,      ///< The request was sent, and no complete response came.
  kNotSent,   ///< The upstream didn't receive the request.
};

/// The runs of one upstream that may have crashed it. Answers the load pattern
/// of an upstream that dies, at once or after a silence, under several requests
/// of which one is the cause.
class CrashSuspects {
 public:
  struct Options {
    /// Longest time from the end of a run until a crash that it caused is
    /// found. Upstreams restart within seconds, and announcements lapse sooner.
    Duration detection_time{std::chrono::seconds(10)};
  };

  explicit CrashSuspects(Options options);

  void OnStart(uint64_t ticket, once::Fingerprint fingerprint, Instant now);

  /// Ignores runs that are not running on the present start of the upstream.
  void OnEnd(uint64_t ticket, RunReply reply, Instant now);

  /// Records an announcement of the present start of the upstream. The runs
  /// that ended before an answered run began are then no suspects any more.
  void OnAnnounced();

  /// Returns the suspects among the runs that have ended, for a crash found at
  /// `now`, and forgets them.
  std::vector<CrashSuspect> TakeEnded(Instant now);

  /// Returns all suspects, for a crash found at `now`, and forgets all runs.
  std::vector<CrashSuspect> TakeAll(Instant now);

 private:
  struct ActiveRun {
    once::Fingerprint fingerprint = 0;
    Instant started;
  };

  struct UnansweredRun {
    CrashSuspect suspect;
    /// Set if a run that began after this one had ended was answered.
    bool later_run_answered = false;
  };

  /// Drops suspects whose crash would have been found by now.
  void ForgetOld(Instant now);

  Options options;
  std::map<uint64_t, ActiveRun> running;
  std::vector<UnansweredRun> unanswered;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_CRASH_SUSPECTS_H_
