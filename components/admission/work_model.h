#ifndef COMPONENTS_ADMISSION_WORK_MODEL_H_
#define COMPONENTS_ADMISSION_WORK_MODEL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "components/admission/fair_queue.h"
#include "components/admission/work_estimator.h"
#include "components/base/time.h"

namespace kingcupstair::admission {

/// Admission by the average latency of the upstream and the number of requests.
struct LatencyAdmission {
  bool operator==(const LatencyAdmission&) const = default;
};

/// Admission by the expected work of each request.
struct WorkAdmission {
  /// Shared by the upstreams of a host.
  std::shared_ptr<WorkEstimator> estimator;
  /// Id of the upstream, for the estimator.
  std::string upstream;

  bool operator==(const WorkAdmission&) const = default;
};

/// What a request means for the upstream's work.
struct ExpectedRun {
  /// Expected mean time.
  Duration mean{};
  /// Time that half of such requests don't exceed.
  Duration median{};
  /// Time that few such requests stay under. If less is left until the
  /// deadline, the request can't be served.
  Duration least{};
};

/// Expected work of the requests at one upstream: the running ones, the waiting
/// ones and those that were refused and told when to come back.
class WorkModel {
 public:
  explicit WorkModel(WorkAdmission options);

  ExpectedRun Expect(const WorkKey& key) const;

  /// Records the start of a request that was queued as `queued`. `returned` is
  /// set if it came back as told, and so didn't wait in its flow.
  void OnStart(const QueuedRequest& queued,
               const WorkKey& key,
               bool returned,
               Instant now);

  /// Records the end of a request. Learns from its latency if `succeeded`, and
  /// corrects the service that its organisation has received in `queue`.
  void OnEnd(TicketId ticket,
             bool succeeded,
             bool upstream_sound,
             FairQueue& queue,
             Instant now);

  /// Discards what was learned of the upstream's present state, as it has
  /// restarted.
  void OnRestart();

  /// Returns the expected time until a slot is free for a request behind
  /// `ahead` seconds of work, while all `slots` are taken.
  Duration WaitBehind(double ahead, int slots, Instant now) const;

  /// Returns the expected time until a flow has been served `work` seconds of
  /// work: at the rate at which it is served at present, and at least at its
  /// share.
  Duration WaitInFlow(const QueuedRequest& queued,
                      double work,
                      int slots,
                      Instant now) const;

  /// Returns the expected time until the running requests and `queued` seconds
  /// of work have ended.
  Duration DrainTime(double queued, int slots, Instant now) const;

  /// Returns when a refused request is best sent again. If that is within the
  /// time that callers honour, capacity is kept for it.
  Duration RetryAfter(const std::string& flow,
                      const ExpectedRun& run,
                      double queued,
                      int slots,
                      Duration remaining_time,
                      Instant now);

  /// Returns whether a refused request of this flow was told to come back about
  /// now. Each refusal counts once.
  bool RedeemReturn(const std::string& flow, Instant now);

  /// Returns the work of the refused requests that are to come back by `until`.
  double WorkToReturn(Instant until, Instant now) const;

 private:
  struct RunningWork {
    WorkKey key;
    QueuedRequest queued;
    Instant since;
  };

  /// A refused request that was told when to come back.
  struct Return {
    std::string flow;
    Instant due;
    double work = 0;
  };

  /// Work of a flow that was started lately, in seconds of work per second,
  /// exponentially weighted.
  struct FlowRate {
    /// Of requests that waited in the flow.
    double waited = 0;
    /// Of requests that came back as told.
    double returned = 0;
    double weight = 1;
    Instant at;

    double total() const { return this->waited + this->returned; }
    /// Returns the rates as they are at `now` without further starts.
    FlowRate At(Instant now) const;
  };

  void CountStart(const QueuedRequest& queued, bool returned, Instant now);
  double RunningSeconds(Instant now) const;

  WorkAdmission options;
  std::map<TicketId, RunningWork> running;
  std::map<std::string, FlowRate> flows;
  /// In the order of the due times.
  std::deque<Return> returns;
  /// The time from which on there is capacity for another return.
  Instant next_return;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_WORK_MODEL_H_
