#ifndef COMPONENTS_ADMISSION_CONCURRENCY_LIMIT_H_
#define COMPONENTS_ADMISSION_CONCURRENCY_LIMIT_H_

#include "components/base/time.h"

namespace kingcupstair::admission {

/// How many requests one upstream may run at once: from 1 after a start up to
/// its slots, led by what it completes and not by the time that passes.
class ConcurrencyLimit {
 public:
  struct Options {
    int slots = 1;
  };

  explicit ConcurrencyLimit(Options options);

  /// Notes an answer: the limit rises by a step for a number of answers that
  /// grows with the limit, and falls when answers are slower than usual.
  void OnSuccess(Duration latency, Instant now);

  /// Notes an error or a timeout: the limit falls by a factor.
  void OnFailure(Instant now);

  /// The upstream has just started, or is cold again: back to 1.
  void Restart();

  /// Requests that may run at once; at least 1.
  int limit() const;

  bool cold() const { return this->value < this->options.slots; }

 private:
  void NoteLatency(double micros);
  bool LooksCold(double micros);
  void Lower(Instant now);

  Options options;
  double value = 1;
  /// Latency in microseconds of the upstream when it is well.
  double usual = 0;
  /// Latency in microseconds over the last few answers.
  double recent = 0;
  int slow_in_row = 0;
  Instant lowered_at;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_CONCURRENCY_LIMIT_H_
