#include "components/ingress/attempt_runner.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "components/fibers/worker_pool.h"

namespace kingcupstair::ingress {
namespace {

constexpr Duration kAcceptTimeout{std::chrono::milliseconds(300)};
/// Minimum time to wait for the result of an accepted run before the host is
/// queried for its outcome, since the connection may be dead without an error.
/// Longer than any wait in a queue of that host.
constexpr Duration kMinResultTimeout{std::chrono::milliseconds(1200)};
constexpr Duration kCancelTimeout{std::chrono::milliseconds(300)};
constexpr Duration kResolveTimeout{std::chrono::milliseconds(300)};
constexpr Duration kMinResolveInterval{std::chrono::milliseconds(20)};
constexpr Duration kMaxResolveInterval{std::chrono::milliseconds(100)};

}  // namespace

AttemptRunner::AttemptRunner(Options options,
                             guard::Guard& guard,
                             rpc::PeerClients& peers,
                             UpstreamRegistry& registry,
                             events::Recorder& recorder)
    : options(std::move(options)),
      guard(guard),
      peers(peers),
      registry(registry),
      recorder(recorder) {}

// If the reply is lost after the guard has granted the slot, the reservation
// expires at the guard.
rpc::SlotAnswer AttemptRunner::Reserve(const ChosenUpstream& choice,
                                       const once::SlotRequest& request) {
  rpc::SlotAnswer answer;
  once::SlotRequest informed = request;
  informed.named_rate = this->registry.NamedRate(choice.upstream);
  if (choice.host == this->options.own_host) {
    answer = this->guard.Reserve(informed);
  } else {
    const Instant called_at = MonotonicNow();
    const auto reply = this->peers.Reserve(
        choice.host, informed,
        std::min(request.max_wait + kAcceptTimeout, request.remaining_time));
    if (!reply.ok()) {
      this->RecordPathLost(choice.host);
      return {.refusal = {.reason = once::RefusalReason::kConnectFailed}};
    }
    answer = *reply;
    this->registry.OnPathReached(choice.host);
    if (request.max_wait == Duration{}) {
      this->registry.OnRoundTrip(choice.upstream, MonotonicNow() - called_at);
    }
  }
  this->registry.OnLoadReport({.report = answer.report,
                               .in_flight = answer.in_flight,
                               .queued = answer.queued},
                              MonotonicNow());
  if (answer.report.named_rate > 0 &&
      answer.refusal.reason == once::RefusalReason::kQueueFull) {
    this->registry.OnNoRoom(choice.upstream, answer.refusal.retry_after,
                            MonotonicNow());
  }
  return answer;
}

void AttemptRunner::Cancel(const ChosenUpstream& choice,
                           const std::string& request_id) {
  if (choice.host == this->options.own_host) {
    this->guard.Cancel(request_id, choice.incarnation);
    return;
  }
  const auto status = this->peers.Cancel(choice.host, request_id,
                                         choice.incarnation, kCancelTimeout);
  if (!status.ok()) {
    this->RecordPathLost(choice.host);
  }
}

once::Outcome AttemptRunner::Run(const ChosenUpstream& choice,
                                 const once::RunRequest& request) {
  if (choice.host != this->options.own_host) {
    return this->RunRemotely(choice.host, request);
  }
  const rpc::RunResult result = this->RunLocally(request);
  this->RecordResult(result);
  return result.outcome;
}

void AttemptRunner::RecordResult(const rpc::RunResult& result) {
  const auto* refusal = std::get_if<once::NotRun>(&result.outcome);
  const bool responded =
      std::holds_alternative<once::Ran>(result.outcome) ||
      (refusal != nullptr && refusal->reason == once::RefusalReason::kShed);
  if (responded) {
    this->registry.OnResponse(result, MonotonicNow());
  } else {
    this->registry.OnLoadReport(result, MonotonicNow());
  }
}

rpc::RunResult AttemptRunner::RunLocally(const once::RunRequest& request) {
  const guard::AcceptAnswer answer = this->guard.Accept(request);
  if (const auto* refused = std::get_if<rpc::RunResult>(&answer)) {
    return *refused;
  }
  return this->guard.Run(std::get<guard::AcceptedRun>(answer));
}

// A run that is not acknowledged may have started all the same. A second
// attempt elsewhere is then a retry, and needs a retry token.
once::Outcome AttemptRunner::RunRemotely(const std::string& host,
                                         const once::RunRequest& request) {
  const Instant deadline = MonotonicNow() + request.remaining_time;
  const rpc::SubmitResult submitted = this->peers.Submit(
      host, request, std::min(kAcceptTimeout, request.remaining_time),
      std::min(std::max(kMinResultTimeout, request.objective),
               request.remaining_time));
  if (submitted.ok()) {
    this->registry.OnPathReached(host);
    this->RecordResult(submitted.run);
    return submitted.run.outcome;
  }
  if (submitted.stage == rpc::SubmitStage::kNotAccepted) {
    this->RecordPathLost(host);
    if (request.idempotent) {
      return once::Unknown{.detail = "the host did not acknowledge the run"};
    }
  }
  return this->ResolveOutcome(host, request, deadline);
}

void AttemptRunner::RecordPathLost(const std::string& host) {
  this->registry.OnPathLost(host, MonotonicNow());
  this->recorder.Record({.kind = "path_lost", .detail = host});
}

// The query fences a request that the host has not yet sent to its upstream.
// The outcome "not run" therefore stays true even if a copy of the request
// arrives at the host later. One more query follows the deadline, because the
// host's reply to that query is final.
once::Outcome AttemptRunner::ResolveOutcome(const std::string& host,
                                            const once::RunRequest& request,
                                            Instant deadline) {
  Duration interval = kMinResolveInterval;
  while (true) {
    const bool is_last_query = MonotonicNow() >= deadline;
    const auto answer = this->peers.Resolve(
        host, request.request_id, request.incarnation, kResolveTimeout,
        std::max<Duration>(kResolveTimeout, deadline - MonotonicNow()));
    if (absl::IsResourceExhausted(answer.status())) {
      this->registry.OnPathReached(host);
    } else if (!answer.ok()) {
      this->RecordPathLost(host);
    } else if (std::holds_alternative<rpc::OtherIncarnation>(*answer)) {
      return once::Unknown{
          .detail = "the host was restarted before it told the outcome"};
    } else {
      const auto& resolution = std::get<once::Resolution>(*answer);
      if (const auto* outcome = std::get_if<once::Outcome>(&resolution)) {
        this->registry.OnPathReached(host);
        return *outcome;
      }
    }
    if (is_last_query) {
      return once::Unknown{
          .detail = absl::StrCat("no outcome before the deadline: ",
                                 answer.ok() ? "the upstream is still at work"
                                             : answer.status().message())};
    }
    fibers::SleepFor(interval);
    interval = std::min(interval * 2, kMaxResolveInterval);
  }
}

}  // namespace kingcupstair::ingress
