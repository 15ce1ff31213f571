#ifndef COMPONENTS_ADMISSION_CONCURRENCY_LIMIT_H_
#define COMPONENTS_ADMISSION_CONCURRENCY_LIMIT_H_

#include "components/base/time.h"

namespace kingcupstair::admission {

/// Adaptive limit on the requests that one upstream runs at once. The limit is
/// 1 after a start, increases additively up to the upstream's slots, and
/// decreases multiplicatively. Only completed requests change the limit, not
/// the passage of time.
class ConcurrencyLimit {
 public:
  struct Options {
    /// Upper bound of the limit.
    int slots = 1;
  };

  explicit ConcurrencyLimit(Options options);

  /// Records a successful response. The limit increases by 1 after a number of
  /// responses that is proportional to the limit. Decreases the limit if recent
  /// latency is well above the baseline, and resets the limit if the latency
  /// shows that the upstream is cold.
  void OnSuccess(Duration latency, Instant now);

  /// Records an error or a timeout, which decreases the limit by a factor.
  void OnFailure(Instant now);

  /// Sets the limit to 1, for an upstream that has started or is cold again.
  void Reset();

  /// Returns how many requests may run at once; at least 1.
  int limit() const;

  /// Returns true while the limit is below the upstream's slots.
  bool cold() const { return this->value < this->options.slots; }

 private:
  void UpdateLatency(double micros);
  /// Counts consecutive slow responses. Returns true if there are enough of
  /// them to regard the upstream as cold and the limit is above 1.
  bool DetectCold(double micros);
  void Decrease(Instant now);

  Options options;
  /// The limit before rounding down.
  double value = 1;
  /// Latency of the upstream when it is healthy; 0 before the first response.
  double baseline_micros = 0;
  /// Weighted average latency of the last few responses.
  double recent_micros = 0;
  int consecutive_slow = 0;
  Instant decreased_at;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_CONCURRENCY_LIMIT_H_
