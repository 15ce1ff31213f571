#ifndef COMPONENTS_RETRY_CALL_ATTRIBUTION_H_
#define COMPONENTS_RETRY_CALL_ATTRIBUTION_H_

#include <compare>
#include <cstdint>
#include <map>

#include "components/base/time.h"

namespace kingcupstair::retry {

/// Runs of one kind are taken to make the same number of calls.
struct RunKind {
  bool idempotent = false;
  Duration objective{};

  auto operator<=>(const RunKind&) const = default;
};

/// Attributes the calls that the upstreams of one service on one host make to
/// the runs in flight there, since a call does not name the run that makes it.
/// Learns how many calls the runs of each kind make: where only some requests
/// of a service make calls, and only those are retried, the fraction of retries
/// among all runs says little about the calls.
class CallAttribution {
 public:
  /// Records the start of a run that is a retry with the given probability.
  void OnRunStart(uint64_t run, const RunKind& kind, double repeat_probability);

  void OnRunEnd(uint64_t run);

  /// Records a call, and returns the probability that a retry makes it.
  double OnCall();

 private:
  struct Run {
    RunKind kind;
    double repeat_probability = 0;
  };

  struct KindTally {
    double runs = 0;
    double calls = 0;
  };

  static KindTally InitialTally(const RunKind& kind);
  double CallsPerRun(const RunKind& kind) const;

  std::map<RunKind, KindTally> kinds;
  std::map<uint64_t, Run> running;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_CALL_ATTRIBUTION_H_
