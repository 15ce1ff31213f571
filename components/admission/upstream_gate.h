#ifndef COMPONENTS_ADMISSION_UPSTREAM_GATE_H_
#define COMPONENTS_ADMISSION_UPSTREAM_GATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "components/admission/concurrency_limit.h"
#include "components/admission/fair_queue.h"
#include "components/admission/work_model.h"
#include "components/base/time.h"
#include "components/limits/token_bucket.h"
#include "components/once/outcome.h"

namespace kingcupstair::admission {

/// Decision that a request is sent to the upstream now.
struct StartTicket {
  TicketId ticket = 0;

  bool operator==(const StartTicket&) const = default;
};

/// Decision that a request is refused without having run.
struct RefuseTicket {
  TicketId ticket = 0;
  once::NotRun refusal;

  bool operator==(const RefuseTicket&) const = default;
};

using GateDecision = std::variant<StartTicket, RefuseTicket>;

/// How a started request ended at the upstream.
enum class RunEnd {
  kSuccess,
  kFailure,
  kTimeout,    ///< The deadline passed; a failure only after a long run.
  kCancelled,  ///< Not counted for or against the upstream.
};

/// Warm-up of an upstream that doesn't report when it is cold. The adaptive
/// concurrency limit bounds how many requests the upstream runs at once.
struct AdaptiveWarmUp {
  bool operator==(const AdaptiveWarmUp&) const = default;
};

/// Warm-up of an upstream that runs as many requests at once as it has slots,
/// but while cold can take only a known number of new requests a second. A warm
/// upstream has a limit too, because it may become cold unnoticed.
struct RateLimitedWarmUp {
  /// New requests a second while the upstream is cold; 0 for no limit.
  double rate = 0;
  /// Limit of a warm upstream, as a multiple of `rate` and a number of requests
  /// a second on top: what an upstream that has become cold bears until it
  /// announces that.
  double warm_factor = 1.5;
  double warm_slack = 0;

  bool operator==(const RateLimitedWarmUp&) const = default;
};

using WarmUp = std::variant<AdaptiveWarmUp, RateLimitedWarmUp>;

/// How requests are queued and refused.
using Admission = std::variant<LatencyAdmission, WorkAdmission>;

/// A request that is offered to the gate.
struct GateRequest {
  TicketId ticket = 0;
  std::string organisation;
  /// Share of the slots relative to the weights of other organisations.
  double weight = 1;
  /// 0 is the most urgent.
  int priority = 0;
  /// Set for a request made on behalf of another request that already occupies
  /// a slot of another upstream.
  bool internal = false;
  Instant deadline;
  /// Latency objective: time within which a response has full value. Zero if
  /// not known.
  Duration objective{};
  /// Longest wait for a slot; replaces that of the gate's options if set.
  std::optional<Duration> max_wait;
  /// What is known about the request's work.
  WorkKey work_key;

  bool operator==(const GateRequest&) const = default;
};

/// Current load, latency and errors of one upstream, for the load reports that
/// ingresses receive.
struct GateReport {
  /// Running requests.
  int in_flight = 0;
  /// Waiting requests.
  int queued = 0;
  /// Requests that the upstream may run at once. If it has named a limit on new
  /// requests, as many as run at once at that rate.
  int limit = 1;
  /// Limit on new requests a second that the upstream has named; 0 for none.
  double named_rate = 0;
  bool cold = true;
  /// With an adaptive limit, the exponentially weighted average latency or, if
  /// longer, the age of the oldest running request. With a rate-limited
  /// warm-up, the exponentially weighted average of latency as a fraction of
  /// the objective, but at least a quarter, where 1 s stands for the whole
  /// objective.
  Duration latency{};
  /// With admission by work, the expected time until a new request gets a slot,
  /// at least 1 us; otherwise 0.
  Duration remaining_work{};
  /// Exponentially weighted share of failed requests, 0 to 1.
  double error_share = 0;
  /// Requests that succeeded or failed since the upstream started.
  uint64_t finished = 0;

  bool operator==(const GateReport&) const = default;
};

/// Admission gate of one upstream: decides which requests the upstream runs, in
/// which order and how many at once. All requests to the upstream pass through
/// this object, so hosts don't have to agree on the decisions.
class UpstreamGate {
 public:
  struct Options {
    /// Requests that the upstream can run at once when warm.
    int slots = 1;
    /// Longest wait for a slot, unless the request sets its own.
    Duration max_wait{std::chrono::seconds(1)};
    WarmUp warm_up = AdaptiveWarmUp{};
    Admission admission = LatencyAdmission{};
  };

  explicit UpstreamGate(Options options);

  /// Starts, queues or refuses a request. Refuses the request at once if it is
  /// not expected to get a slot and a response in time. Returns the decisions
  /// made, which may concern other waiting requests too.
  std::vector<GateDecision> Offer(const GateRequest& request, Instant now);

  /// Records the end of a started request and starts waiting ones. Does nothing
  /// if `ticket` is not running.
  std::vector<GateDecision> Finish(TicketId ticket, RunEnd end, Instant now);

  /// Refuses requests that have waited too long and starts waiting ones. To be
  /// called regularly.
  std::vector<GateDecision> Tick(Instant now);

  /// Refuses all waiting requests for `reason`.
  std::vector<GateDecision> RefuseQueued(once::RefusalReason reason);

  /// Sets the rate of a rate-limited warm-up. Does nothing if the warm-up is
  /// adaptive.
  void SetWarmUpRate(double rate);

  /// Sets the limit on new requests a second that the upstream has named, or
  /// removes it. The limit holds beside that of the warm-up.
  void SetNamedRate(std::optional<double> rate, Instant now);

  /// Records whether the upstream has announced that it is cold. It counts as
  /// cold before its first announcement and after a restart.
  void SetCold(bool cold) { this->cold = cold; }

  /// Records whether the upstream is suspected of failing. The work of requests
  /// is not learned from such an upstream.
  void SetSuspected(bool suspected) { this->suspected = suspected; }

  /// Discards the adaptive limit, latencies, errors and the number of finished
  /// requests after a restart of the upstream. Running and waiting requests
  /// are kept.
  void Reset();

  /// Returns the current load, latency and errors of the upstream.
  GateReport Report(Instant now) const;

  /// Returns whether a request was started after `since`, which is less than a
  /// second ago.
  bool HasStartedSince(Instant since) const {
    return !this->recent_starts.empty() && this->recent_starts.back() > since;
  }

  /// Returns the number of running requests.
  int in_flight() const { return static_cast<int>(this->running.size()); }

 private:
  std::vector<GateDecision> OfferByWork(const GateRequest& request,
                                        Instant now);
  /// Returns the expected time until `queued` gets a slot, with admission by
  /// work.
  Duration ExpectedWaitByWork(const QueuedRequest& queued,
                              bool returns,
                              Instant now) const;
  RefuseTicket RefuseByWork(const GateRequest& request,
                            once::RefusalReason reason,
                            bool may_return,
                            Instant now);
  /// Refuses the waiting requests that are not expected to start in time.
  void RefuseHopeless(Instant now, std::vector<GateDecision>& decisions);
  void StartQueued(Instant now, std::vector<GateDecision>& decisions);
  void RecordLatency(Duration latency, Duration objective);
  /// Returns the average fraction of the latency objective that responses took,
  /// as a duration in which 1 s stands for the whole objective.
  Duration RelativeLatency() const;
  int Limit() const;
  /// Returns the limit for load reports.
  int ReportedLimit() const;
  RefuseTicket RefuseAsFull(const GateRequest& request) const;
  /// Returns whether the rate limits permit another start at `now`. Forgets
  /// starts that are older than the rate window.
  bool CanStart(Instant now);
  /// Returns whether the rate limit of the warm-up permits another start.
  bool WarmUpPermitsStart(Instant now);
  /// Returns the time until the limit that the upstream has named permits a
  /// start after `ahead` others.
  Duration TimeToNamedStart(double ahead) const;
  void RecordFailure(Instant now);
  Duration AverageLatency() const;
  Duration RemainingWork(Instant now) const;
  Duration MinLatency() const;
  /// Returns the expected time until a slot is free for `request`.
  Duration ExpectedWait(const GateRequest& request) const;

  Options options;
  ConcurrencyLimit concurrency;
  FairQueue queue;
  struct Running {
    Instant since;
    Duration objective;
  };

  std::map<TicketId, Running> running;
  /// Latency objectives of the waiting requests.
  std::map<TicketId, Duration> queued_objectives;
  /// Set with admission by work.
  std::optional<WorkModel> work;
  /// The waiting requests, with admission by work.
  struct QueuedByWork {
    GateRequest request;
    /// As queued without the rank of a request that comes back. Its flow is
    /// charged for the work.
    QueuedRequest queued;
    bool returned = false;
  };
  std::map<TicketId, QueuedByWork> queued_requests;
  Instant hopeless_checked_at;
  /// Times of the starts within the last second, the oldest first.
  std::deque<Instant> recent_starts;
  double average_latency_micros = 0;
  /// Shortest latency of recent responses.
  double min_latency_micros = 0;
  /// Latency as a fraction of the objective, exponentially weighted.
  double relative_latency = 0;
  double error_share = 0;
  uint64_t finished = 0;
  bool cold = true;
  bool suspected = false;
  struct NamedLimit {
    limits::RateLimit limit;
    limits::TokenBucket bucket;
  };
  /// Limit that the upstream has named.
  std::optional<NamedLimit> named;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_UPSTREAM_GATE_H_
