#include "components/admission/work_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcupstair::admission {
namespace {

/// One run in ten is shorter than this many standard deviations below the
/// median.
constexpr double kShortRunDeviations = 1.28;
constexpr Duration kMinRetryAfter{std::chrono::milliseconds(200)};
constexpr Duration kMaxRetryAfter{std::chrono::seconds(10)};
/// Callers come back within this fraction of their remaining time or not at
/// all.
constexpr double kHonouredFraction = 1.0 / 3;
/// Share of the slots kept for requests that come back.
constexpr double kReturnShare = 0.25;
/// A request that comes this much later than a caller was told is still taken
/// for that caller's. One that comes earlier is not: it would take the turn of
/// the caller that waits as told.
constexpr Duration kReturnLate{std::chrono::milliseconds(1'000)};
/// Time over which the rate of a flow is measured: some runs of the longest
/// class.
constexpr Duration kRateMemory{std::chrono::seconds(5)};
/// A flow that is served less, in seconds of work per second, doesn't count.
constexpr double kMinFlowRate = 0.01;
constexpr size_t kMaxFlows = 256;
/// Maximum number of refused requests to come back, in total and of one flow.
constexpr size_t kMaxReturns = 256;
constexpr int kMaxReturnsOfFlow = 32;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1'000'000));
}

}  // namespace

WorkModel::WorkModel(WorkAdmission options) : options(std::move(options)) {}

ExpectedRun WorkModel::Expect(const WorkKey& key) const {
  WorkEstimate estimate =
      this->options.estimator->RunTime(this->options.upstream, key);
  ExpectedRun run{.mean = estimate.Mean(), .median = estimate.Median()};
  estimate.log_mean -= kShortRunDeviations * estimate.spread;
  run.least = estimate.Median();
  return run;
}

void WorkModel::OnStart(const QueuedRequest& queued,
                        const WorkKey& key,
                        bool returned,
                        Instant now) {
  this->running[queued.ticket] = {.key = key, .queued = queued, .since = now};
  this->CountStart(queued, returned, now);
}

WorkModel::FlowRate WorkModel::FlowRate::At(Instant now) const {
  const double kept =
      std::exp(-ToSeconds(now - this->at) / ToSeconds(kRateMemory));
  return {.waited = this->waited * kept,
          .returned = this->returned * kept,
          .weight = this->weight,
          .at = now};
}

void WorkModel::CountStart(const QueuedRequest& queued,
                           bool returned,
                           Instant now) {
  if (this->flows.size() >= kMaxFlows) {
    std::erase_if(this->flows, [&](const auto& entry) {
      return entry.second.At(now).total() < kMinFlowRate;
    });
  }
  FlowRate& flow = this->flows[queued.organisation];
  flow = flow.At(now);
  (returned ? flow.returned : flow.waited) +=
      queued.work / ToSeconds(kRateMemory);
  flow.weight = queued.weight;
}

// Requests that arrive later pass this one if their flows have received less
// than their share. A flow that sends more than its share waits longer than the
// work ahead of it at present needs. The requests that come back as told use a
// part of the share of their flow.
Duration WorkModel::WaitInFlow(const QueuedRequest& queued,
                               double work,
                               int slots,
                               Instant now) const {
  double weights = queued.weight;
  FlowRate own;
  for (const auto& [name, flow] : this->flows) {
    if (name == queued.organisation) {
      own = flow.At(now);
    } else if (flow.At(now).total() >= kMinFlowRate) {
      weights += flow.weight;
    }
  }
  const double share = slots * queued.weight / std::max(weights, 1e-9);
  return FromSeconds(
      work / std::max({own.waited, share - own.returned, kMinFlowRate}));
}

// An organisation is charged for the time that its requests took, whatever was
// expected of them. Requests that look cheap gain nothing.
void WorkModel::OnEnd(TicketId ticket,
                      bool succeeded,
                      bool upstream_sound,
                      FairQueue& queue,
                      Instant now) {
  const auto found = this->running.find(ticket);
  if (found == this->running.end()) {
    return;
  }
  const RunningWork& ended = found->second;
  queue.Charge(ended.queued, ToSeconds(now - ended.since) - ended.queued.work);
  if (succeeded) {
    this->options.estimator->Observe({.upstream = this->options.upstream,
                                      .key = ended.key,
                                      .latency = now - ended.since,
                                      .upstream_sound = upstream_sound},
                                     now);
  }
  this->running.erase(found);
}

void WorkModel::OnRestart() {
  this->options.estimator->ResetUpstream(this->options.upstream);
}

double WorkModel::RunningSeconds(Instant now) const {
  double seconds = 0;
  for (const auto& [ticket, each] : this->running) {
    seconds += ToSeconds(
        this->options.estimator->RunTime(this->options.upstream, each.key)
            .MeanRemaining(now - each.since));
  }
  return seconds;
}

// The slots become free one after the other, on average one after each
// `slots`th part of the mean time that is left.
Duration WorkModel::WaitBehind(double ahead, int slots, Instant now) const {
  const double first = this->running.empty()
                           ? 0
                           : this->RunningSeconds(now) /
                                 static_cast<double>(this->running.size());
  return FromSeconds((first + ahead) / std::max(1, slots));
}

Duration WorkModel::DrainTime(double queued, int slots, Instant now) const {
  return FromSeconds((this->RunningSeconds(now) + queued) / std::max(1, slots));
}

// Refused callers come back one after the other, at the rate at which their
// share of the slots serves them. A caller whose turn would come later than
// callers wait takes none and is told a time that it won't wait for: it would
// only be refused again.
Duration WorkModel::RetryAfter(const std::string& flow,
                               const ExpectedRun& run,
                               double queued,
                               int slots,
                               Duration remaining_time,
                               Instant now) {
  while (!this->returns.empty() &&
         this->returns.front().due + kReturnLate < now) {
    this->returns.pop_front();
  }
  const Duration honoured = FractionOf(remaining_time, kHonouredFraction);
  const Duration drained =
      std::clamp(this->DrainTime(queued, slots, now), kMinRetryAfter,
                 std::max(kMinRetryAfter, std::min(honoured, kMaxRetryAfter)));
  const Instant due = std::max(now + drained, this->next_return);
  const Duration after = due - now;
  const auto of_flow =
      std::count_if(this->returns.begin(), this->returns.end(),
                    [&](const Return& each) { return each.flow == flow; });
  if (after > honoured || after + run.median > remaining_time ||
      this->returns.size() >= kMaxReturns || of_flow >= kMaxReturnsOfFlow) {
    return std::min(std::max(after, honoured + kMinRetryAfter), kMaxRetryAfter);
  }
  const double work = ToSeconds(run.mean);
  this->returns.push_back({.flow = flow, .due = due, .work = work});
  this->next_return =
      due + FromSeconds(work / (std::max(1, slots) * kReturnShare));
  return after;
}

bool WorkModel::RedeemReturn(const std::string& flow, Instant now) {
  const auto found = std::find_if(
      this->returns.begin(), this->returns.end(), [&](const Return& each) {
        return each.flow == flow && each.due <= now &&
               now <= each.due + kReturnLate;
      });
  if (found == this->returns.end()) {
    return false;
  }
  this->returns.erase(found);
  return true;
}

double WorkModel::WorkToReturn(Instant until, Instant now) const {
  double work = 0;
  for (const Return& each : this->returns) {
    if (each.due <= until && now <= each.due + kReturnLate) {
      work += each.work;
    }
  }
  return work;
}

}  // namespace kingcupstair::admission
