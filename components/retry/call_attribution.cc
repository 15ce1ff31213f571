#include "components/retry/call_attribution.h"

namespace kingcupstair::retry {
namespace {

/// Number of runs that the initial estimate of a kind counts for.
constexpr double kInitialRuns = 2;
/// Initial estimate for idempotent runs. Only they are retried, so a high
/// estimate overstates the calls by retries until the true number is known.
constexpr double kInitialCallsPerIdempotentRun = 1;
constexpr double kInitialCallsPerNonIdempotentRun = 0.2;
/// At this number of runs the tally of a kind is halved, so that a change of
/// the requests is learned.
constexpr double kMaxTalliedRuns = 400;

}  // namespace

CallAttribution::KindTally CallAttribution::InitialTally(const RunKind& kind) {
  return {.runs = kInitialRuns,
          .calls = kInitialRuns * (kind.idempotent
                                       ? kInitialCallsPerIdempotentRun
                                       : kInitialCallsPerNonIdempotentRun)};
}

void CallAttribution::OnRunStart(uint64_t run,
                                 const RunKind& kind,
                                 double repeat_probability) {
  KindTally& tally =
      this->kinds.try_emplace(kind, InitialTally(kind)).first->second;
  tally.runs += 1;
  if (tally.runs > kMaxTalliedRuns) {
    tally.runs /= 2;
    tally.calls /= 2;
  }
  this->running[run] = {.kind = kind, .repeat_probability = repeat_probability};
}

void CallAttribution::OnRunEnd(uint64_t run) {
  this->running.erase(run);
}

double CallAttribution::CallsPerRun(const RunKind& kind) const {
  const KindTally& tally = this->kinds.at(kind);
  return tally.calls / tally.runs;
}

// Expectation maximisation, one call at a time: a call is divided among the
// runs in flight in proportion to the calls expected of each, and the parts
// change these expectations.
double CallAttribution::OnCall() {
  double total = 0;
  double by_retries = 0;
  for (const auto& [id, run] : this->running) {
    const double expected = this->CallsPerRun(run.kind);
    total += expected;
    by_retries += expected * run.repeat_probability;
  }
  if (total <= 0) {
    return 0;
  }
  std::map<RunKind, double> parts;
  for (const auto& [id, run] : this->running) {
    parts[run.kind] += this->CallsPerRun(run.kind) / total;
  }
  for (const auto& [kind, part] : parts) {
    this->kinds.at(kind).calls += part;
  }
  return by_retries / total;
}

}  // namespace kingcupstair::retry
