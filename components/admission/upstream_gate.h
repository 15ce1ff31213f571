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
#include "components/base/time.h"
#include "components/once/outcome.h"

namespace kingcupstair::admission {

/// The request may go to the upstream now.
struct StartTicket {
  TicketId ticket = 0;

  bool operator==(const StartTicket&) const = default;
};

/// The request is refused without having run.
struct RefuseTicket {
  TicketId ticket = 0;
  once::NotRun refusal;

  bool operator==(const RefuseTicket&) const = default;
};

using GateDecision = std::variant<StartTicket, RefuseTicket>;

/// How a request that was started ended at the upstream.
enum class RunEnd {
  kSuccess,
  kFailure,
  kTimeout,    ///< Its time was up; a failure only if it had enough of it.
  kCancelled,  ///< It says nothing about the upstream.
};

/// The upstream says nothing of its warm-up, so its answers tell how many
/// requests it bears at once.
struct WarmUpByAnswers {
  bool operator==(const WarmUpByAnswers&) const = default;
};

/// The upstream runs as many requests as it has slots, and while it is cold it
/// bears a known number of new ones a second. It may turn cold unseen, so the
/// number always holds.
struct WarmUpByRate {
  /// Requests a second; 0 for no bound.
  double rate = 0;

  bool operator==(const WarmUpByRate&) const = default;
};

using WarmUp = std::variant<WarmUpByAnswers, WarmUpByRate>;

/// A request at the gate.
struct GateRequest {
  TicketId ticket = 0;
  std::string organisation;
  double weight = 1;
  /// 0 is the most urgent.
  int priority = 0;
  /// It is part of a request that holds a slot elsewhere.
  bool internal = false;
  Instant deadline;
  /// The time within which an answer is as useful as it can be; zero when not
  /// known.
  Duration objective{};
  /// Longest wait for a slot, if not that of the gate.
  std::optional<Duration> max_wait;

  bool operator==(const GateRequest&) const = default;
};

/// What the gate of one upstream tells ingresses about it.
struct GateReport {
  int in_flight = 0;
  int queued = 0;
  int limit = 1;
  bool cold = true;
  /// Exponentially weighted, the age of the oldest running request included.
  Duration latency{};
  /// Exponentially weighted share of failed requests, 0 to 1.
  double error_share = 0;
  /// Requests that ended since the upstream started.
  uint64_t finished = 0;

  bool operator==(const GateReport&) const = default;
};

/// Decides which requests one upstream runs, in what order and how many at
/// once. All requests to the upstream pass here, so no agreement is needed.
class UpstreamGate {
 public:
  struct Options {
    int slots = 1;
    /// Longest wait for a slot.
    Duration max_wait{std::chrono::seconds(1)};
    WarmUp warm_up = WarmUpByAnswers{};
  };

  explicit UpstreamGate(Options options);

  /// Offers a request. It is refused at once when it can't be expected to get
  /// a slot and an answer in time.
  std::vector<GateDecision> Offer(const GateRequest& request, Instant now);

  /// A started request has ended.
  std::vector<GateDecision> Finish(TicketId ticket, RunEnd end, Instant now);

  /// Lets time pass: refuses what has waited too long.
  std::vector<GateDecision> Tick(Instant now);

  /// Refuses everything that waits, for `reason`.
  std::vector<GateDecision> RefuseWaiting(once::RefusalReason reason);

  /// The upstream has started anew.
  void Restart();

  GateReport Report(Instant now) const;

  int in_flight() const { return static_cast<int>(this->running.size()); }

 private:
  void StartWaiting(Instant now, std::vector<GateDecision>& decisions);
  void NoteLatency(Duration latency, Duration objective);
  Duration RelativeLatency() const;
  int Limit() const;
  bool MayStart(Instant now);
  void NoteFailure(Instant now);
  Duration UsualLatency() const;
  Duration LeastLatency() const;
  Duration ExpectedWait(const GateRequest& request) const;

  Options options;
  ConcurrencyLimit concurrency;
  FairQueue queue;
  struct Running {
    Instant since;
    Duration objective;
  };

  std::map<TicketId, Running> running;
  /// Objectives of the requests that wait.
  std::map<TicketId, Duration> waiting;
  /// Starts within the last second, the oldest first.
  std::deque<Instant> starts;
  double latency_micros = 0;
  /// Of the latest answers.
  double shortest_micros = 0;
  /// Latency as a part of the objective, exponentially weighted.
  double relative_latency = 0;
  double error_share = 0;
  uint64_t finished = 0;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_UPSTREAM_GATE_H_
