#ifndef TESTS_SCENARIO_CLOCK_H_
#define TESTS_SCENARIO_CLOCK_H_

#include <functional>
#include <map>

#include "tests/support/times.h"

namespace kingcupstair::scenario {

/// A virtual clock: runs what was put on it, in order of time.
class Clock {
 public:
  Instant Now() const { return this->now; }

  /// Runs `task` after `delay`.
  void After(Duration delay, std::function<void()> task) {
    this->tasks.emplace(this->now + delay, std::move(task));
  }

  /// Runs `task` now and again after each `period`.
  void Every(Duration period, const std::function<void()>& task) {
    task();
    this->After(period, [this, period, task] { this->Every(period, task); });
  }

  /// Lets `duration` pass.
  void Run(Duration duration) {
    const Instant until = this->now + duration;
    while (!this->tasks.empty() && this->tasks.begin()->first <= until) {
      const auto first = this->tasks.begin();
      this->now = first->first;
      const auto task = std::move(first->second);
      this->tasks.erase(first);
      task();
    }
    this->now = until;
  }

 private:
  Instant now = At(0);
  std::multimap<Instant, std::function<void()>> tasks;
};

}  // namespace kingcupstair::scenario

#endif  // TESTS_SCENARIO_CLOCK_H_
