#ifndef TESTS_SCENARIO_FAKE_UPSTREAM_H_
#define TESTS_SCENARIO_FAKE_UPSTREAM_H_

#include <algorithm>
#include <random>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::scenario {

/// What is wrong with an upstream.
struct UpstreamFault {
  Duration slow{};
  double error_share = 0;
  bool hang = false;
  /// Its health endpoint says that it is well whatever it is.
  bool lie = true;

  bool Any() const {
    return this->slow > Duration{} || this->error_share > 0 || this->hang;
  }
};

/// How one request ends at an upstream.
struct FakeRun {
  Duration latency{};
  bool failed = false;
};

/// An upstream that takes about `work` a request, more for each request above
/// what it bears at once. Cold, it bears one, and one more for each
/// `answers_per_step` answers.
class FakeUpstream {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int host = 0;
    int slots = 7;
    Duration work{std::chrono::milliseconds(20)};
  };

  explicit FakeUpstream(Options options) : options(std::move(options)) {}

  const Options& Settings() const { return this->options; }

  /// Starts a request; gives when and how it will end.
  FakeRun Start(std::mt19937_64& random) {
    ++this->running;
    const int above = std::max(0, this->running - this->Bears());
    this->overloads += above > 0 ? 1 : 0;
    std::lognormal_distribution<double> spread(0, 0.3);
    std::bernoulli_distribution fails(this->fault.error_share);
    const double micros = static_cast<double>(this->options.work.count()) *
                          spread(random) * (1 + 4 * above);
    Duration latency(static_cast<int64_t>(micros));
    latency += this->fault.slow;
    if (this->fault.hang) {
      latency = std::chrono::seconds(30);
    }
    return {.latency = latency, .failed = fails(random)};
  }

  void End() {
    --this->running;
    ++this->answered;
  }

  /// Makes it cold: `answers_per_step` 0 for always warm.
  void Chill(int steps) {
    this->answers_per_step = steps;
    this->answered = 0;
  }

  int Bears() const {
    if (this->answers_per_step == 0) {
      return this->options.slots;
    }
    return std::min(this->options.slots,
                    1 + this->answered / this->answers_per_step);
  }

  bool SaysHealthy() const { return !this->fault.Any() || this->fault.lie; }

  UpstreamFault fault;
  int overloads = 0;

 private:
  Options options;
  int running = 0;
  int answered = 0;
  int answers_per_step = 0;
};

}  // namespace kingcupstair::scenario

#endif  // TESTS_SCENARIO_FAKE_UPSTREAM_H_
