#ifndef COMPONENTS_BASE_BACKOFF_H_
#define COMPONENTS_BASE_BACKOFF_H_

#include <random>

#include "components/base/time.h"

namespace kingcupstair {

/// Delays between tries of a call that fails: each is random within the upper
/// half of a range that doubles with each failure.
class Backoff {
 public:
  struct Options {
    Duration first;
    Duration longest;
  };

  explicit Backoff(Options options);

  /// Returns the delay before the next try.
  Duration NextDelay();

  /// Starts again from the first delay, after a success.
  void Reset() { this->next = this->options.first; }

 private:
  Options options;
  Duration next;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_BACKOFF_H_
