#include "components/ingress/attempt_runner.h"

#include <algorithm>

#include "components/fibers/worker_pool.h"

namespace kingcupstair::ingress {
namespace {

constexpr Duration kAcceptTimeout{std::chrono::milliseconds(300)};
/// After this long without a result the host is asked about the request: the
/// connection may have gone silent. Longer than any wait in its queue.
constexpr Duration kPatience{std::chrono::milliseconds(1200)};
constexpr Duration kCancelTimeout{std::chrono::milliseconds(300)};
constexpr Duration kResolveTimeout{std::chrono::milliseconds(300)};
constexpr Duration kShortestResolvePause{std::chrono::milliseconds(20)};
constexpr Duration kLongestResolvePause{std::chrono::milliseconds(100)};

}  // namespace

AttemptRunner::AttemptRunner(Options options,
                             guard::Guard& guard,
                             rpc::PeerClients& peers,
                             FleetBoard& board,
                             events::Recorder& recorder)
    : options(std::move(options)),
      guard(guard),
      peers(peers),
      board(board),
      recorder(recorder) {}

// A slot that was granted and not heard of lapses at its guard.
rpc::SlotAnswer AttemptRunner::Reserve(const Choice& choice,
                                       const once::SlotRequest& request) {
  rpc::SlotAnswer answer;
  if (choice.host == this->options.own_host) {
    answer = this->guard.Reserve(request);
  } else {
    const auto reply = this->peers.Reserve(choice.host, request,
                                           request.max_wait + kAcceptTimeout);
    if (!reply.ok()) {
      this->NotePathLost(choice.host);
      return {.refusal = {.reason = once::RefusalReason::kConnectFailed}};
    }
    answer = *reply;
    this->board.OnPathReached(choice.host);
  }
  this->board.OnStanding({.report = answer.report,
                          .in_flight = answer.in_flight,
                          .queued = answer.queued},
                         MonotonicNow());
  return answer;
}

void AttemptRunner::Cancel(const Choice& choice,
                           const std::string& request_id) {
  if (choice.host == this->options.own_host) {
    this->guard.Cancel(request_id, choice.incarnation);
    return;
  }
  const auto status = this->peers.Cancel(choice.host, request_id,
                                         choice.incarnation, kCancelTimeout);
  if (!status.ok()) {
    this->NotePathLost(choice.host);
  }
}

once::Outcome AttemptRunner::Run(const Choice& choice,
                                 const once::RunRequest& request) {
  if (choice.host != this->options.own_host) {
    return this->RunThere(choice.host, request);
  }
  const rpc::RunResult result = this->RunHere(request);
  this->board.OnStanding(result, MonotonicNow());
  return result.outcome;
}

rpc::RunResult AttemptRunner::RunHere(const once::RunRequest& request) {
  const guard::AcceptAnswer answer = this->guard.Accept(request);
  if (const auto* refused = std::get_if<rpc::RunResult>(&answer)) {
    return *refused;
  }
  return this->guard.Run(std::get<guard::AcceptedRun>(answer));
}

once::Outcome AttemptRunner::RunThere(const std::string& host,
                                      const once::RunRequest& request) {
  const Instant deadline = MonotonicNow() + request.time_left;
  const rpc::SubmitResult submitted = this->peers.Submit(
      host, request, std::min(kAcceptTimeout, request.time_left),
      std::min(std::max(kPatience, request.objective), request.time_left));
  const Instant now = MonotonicNow();
  if (submitted.ok()) {
    this->board.OnPathReached(host);
    this->board.OnStanding(submitted.run, now);
    return submitted.run.outcome;
  }
  if (submitted.stage == rpc::SubmitStage::kNotAccepted) {
    this->NotePathLost(host);
    if (request.idempotent) {
      return once::NotRun{.reason = once::RefusalReason::kConnectFailed};
    }
  }
  return this->FindOut(host, request, deadline);
}

void AttemptRunner::NotePathLost(const std::string& host) {
  this->board.OnPathLost(host, MonotonicNow());
  this->recorder.Record({.kind = "path_lost", .detail = host});
}

// Asking fences a request that the host has not sent on, so "not run" stays
// true even if a copy of the request still arrives there. The host is asked
// once more after the deadline, since what it says then is final.
once::Outcome AttemptRunner::FindOut(const std::string& host,
                                     const once::RunRequest& request,
                                     Instant deadline) {
  Duration pause = kShortestResolvePause;
  while (true) {
    const bool last = MonotonicNow() >= deadline;
    const auto answer = this->peers.Resolve(
        host, request.request_id, request.incarnation, kResolveTimeout);
    if (!answer.ok()) {
      this->NotePathLost(host);
    } else if (std::holds_alternative<rpc::OtherIncarnation>(*answer)) {
      return once::Unknown{
          .detail = "the host was restarted before it told the outcome"};
    } else {
      const auto& resolution = std::get<once::Resolution>(*answer);
      if (const auto* outcome = std::get_if<once::Outcome>(&resolution)) {
        this->board.OnPathReached(host);
        return *outcome;
      }
    }
    if (last) {
      return once::Unknown{.detail = "no outcome before the deadline"};
    }
    fibers::SleepFor(pause);
    pause = std::min(pause * 2, kLongestResolvePause);
  }
}

}  // namespace kingcupstair::ingress
