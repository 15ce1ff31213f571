#include "components/ingress/request_run.h"

#include <algorithm>
#include <deque>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>

#include "components/base/hash.h"
#include "components/fibers/await.h"
#include "components/fibers/worker_pool.h"
#include "components/ingress/slot_search.h"

namespace kingcupstair::ingress {
namespace {

/// How often a waiting request looks whether its caller is still there; well
/// within the half second after which work for nobody counts as waste.
constexpr Duration kCallerCheck{std::chrono::milliseconds(100)};
/// A repeatable request without an answer after this part of its objective is
/// sent a second time: a second upstream can still answer within it.
constexpr double kHedgePart = 0.55;
/// Pause before asking again for leave or room for it: leave is earned by other
/// requests, and at the usual load that takes some tenths of a second.
constexpr Duration kHedgePause{std::chrono::milliseconds(200)};
/// Part of the objective that a request may spend waiting for a slot: what is
/// left is about what an upstream takes.
constexpr double kWaitPart = 0.6;
/// Requests without an objective worth the name may still queue this long.
constexpr Duration kLeastWait{std::chrono::milliseconds(50)};

bool IsServed(const once::Outcome& outcome) {
  constexpr int kFirstServerError = 500;
  const auto* ran = std::get_if<once::Ran>(&outcome);
  return ran != nullptr && ran->response.status < kFirstServerError;
}

/// Whether the attempt reached an upstream, so that another one is a retry in
/// the sense of the budget.
bool Arrived(const once::Outcome& outcome) {
  const auto* refusal = std::get_if<once::NotRun>(&outcome);
  return refusal == nullptr || refusal->reason == once::RefusalReason::kShed ||
         refusal->reason == once::RefusalReason::kMisdirected;
}

}  // namespace

/// What attempts came to, handed to the fiber of the request. Shared, since an
/// attempt may outlive its request. All fibers that use it are on one thread.
///
/// The request waits on a timer that the attempts cancel: timed waits of the
/// fiber library's condition variables can miss a notification that comes just
/// as the time is up (Boost before 1.76), and a request that misses its answer
/// is never answered.
struct RequestRun::Results {
  struct Ended {
    std::string attempt;
    once::Outcome outcome;
  };

  Results() : timer(*fibers::CurrentIo()) {}

  boost::asio::steady_timer timer;
  std::deque<Ended> ended;
};

RequestRun::RequestRun(Context context, const AdmittedRequest& admitted)
    : context(std::move(context)),
      admitted(admitted),
      results(std::make_shared<Results>()) {}

std::optional<once::Outcome> RequestRun::Execute() {
  this->must_answer = !this->StartAttempt(true);
  while (!this->must_answer) {
    const Instant now = MonotonicNow();
    if (this->admitted.caller->IsCancelled()) {
      this->GiveUpAttempts("the caller went away");
      this->CancelAttempts();
      return std::nullopt;
    }
    if (now >= this->admitted.deadline) {
      this->GiveUpAttempts("no answer before the deadline");
      break;
    }
    if (this->IsHedgeDue(now)) {
      this->Hedge();
    }
    if (!this->WaitForResult(this->NextWake(now))) {
      continue;
    }
    if (this->TakeResult()) {
      this->CancelAttempts();
    }
  }
  return this->last;
}

void RequestRun::Hedge() {
  this->hedged = this->StartRetry(/*may_wait=*/false);
  this->hedge_again = MonotonicNow() + kHedgePause;
}

bool RequestRun::StartRetry(bool may_wait) {
  return this->context.may_retry() && this->StartAttempt(may_wait);
}

// Takes in one result; true when it is the final one.
bool RequestRun::TakeResult() {
  Results::Ended ended;
  ended = std::move(this->results->ended.front());
  this->results->ended.pop_front();
  const auto attempt = this->running.find(ended.attempt);
  if (attempt == this->running.end()) {
    return false;
  }
  this->context.note_end("run", attempt->second.choice, ended.outcome);
  this->running.erase(attempt);
  if (IsServed(ended.outcome)) {
    this->last = std::move(ended.outcome);
    this->must_answer = true;
    return true;
  }
  const auto* unknown = std::get_if<once::Unknown>(&ended.outcome);
  this->upstreams_broken +=
      unknown != nullptr && unknown->upstream_broke ? 1 : 0;
  this->last = std::move(ended.outcome);
  if (!this->running.empty()) {
    return false;
  }
  this->must_answer = !this->StartAgain(this->last);
  return this->must_answer;
}

bool RequestRun::StartAgain(const once::Outcome& outcome) {
  const bool again = std::holds_alternative<retry::TryAgain>(
      retry::DecideNextStep({.outcome = outcome,
                             .repeat = this->admitted.route.repeat,
                             .attempts = this->attempts,
                             .max_attempts = this->admitted.route.attempts,
                             .upstreams_broken = this->upstreams_broken,
                             .time_left = this->TimeLeft()}));
  if (!again || !this->admitted.dedupe_key.empty()) {
    return false;
  }
  return Arrived(outcome) ? this->StartRetry(/*may_wait=*/true)
                          : this->StartAttempt(/*may_wait=*/true);
}

bool RequestRun::IsHedgeDue(Instant now) const {
  if (this->hedged || now < this->hedge_again ||
      !this->admitted.IsIdempotent() || this->running.size() != 1 ||
      this->attempts >= this->admitted.route.attempts) {
    return false;
  }
  return now - this->running.begin()->second.started >=
         PartOf(this->admitted.route.objective, kHedgePart);
}

Instant RequestRun::NextWake(Instant now) const {
  return std::min(this->admitted.deadline, now + kCallerCheck);
}

bool RequestRun::WaitForResult(Instant until) {
  if (this->results->ended.empty()) {
    this->results->timer.expires_after(
        std::max(until - MonotonicNow(), Duration(1)));
    fibers::Await([&](auto handler) {
      this->results->timer.async_wait(
          [handler](boost::system::error_code ec) mutable { handler(ec); });
    });
  }
  return !this->results->ended.empty();
}

bool RequestRun::StartAttempt(bool may_wait) {
  const auto choice = this->FindSlot(may_wait);
  if (!choice.has_value()) {
    return false;
  }
  const std::string id = this->next_id;
  this->used.insert(choice->upstream);
  this->running[id] = {.choice = *choice, .started = MonotonicNow()};
  ++this->attempts;
  boost::fibers::fiber([results = this->results, &runner = this->context.runner,
                        choice = *choice, run = this->MakeRun(*choice)] {
    once::Outcome outcome = runner.Run(choice, run);
    results->ended.push_back(
        {.attempt = run.request_id, .outcome = std::move(outcome)});
    results->timer.cancel();
  }).detach();
  return true;
}

std::optional<Choice> RequestRun::FindSlot(bool may_wait) {
  this->next_id = RandomId();
  SlotSearch search({.may_wait = may_wait, .may_use_unwell = may_wait});
  while (!this->admitted.caller->IsCancelled() &&
         MonotonicNow() < this->admitted.deadline) {
    const SlotStep step = search.Next();
    if (step.kind == SlotStep::Kind::kGiveUp) {
      break;
    }
    if (const auto granted = this->AskFor(step, search)) {
      return granted;
    }
  }
  // A failure that an upstream has told outweighs that nobody else was free.
  if (this->attempts == 0 || std::holds_alternative<once::NotRun>(this->last)) {
    this->last = search.last_refusal();
  }
  return std::nullopt;
}

std::optional<Choice> RequestRun::AskFor(const SlotStep& step,
                                         SlotSearch& search) {
  const auto choice = this->ChooseNext(step, search);
  if (!choice.has_value()) {
    search.OnNoChoice();
    return std::nullopt;
  }
  const bool waits = step.kind == SlotStep::Kind::kWait;
  const rpc::SlotAnswer answer = this->context.runner.Reserve(
      *choice,
      {.request_id = this->next_id,
       .incarnation = choice->incarnation,
       .organisation = this->admitted.organisation,
       .upstream = choice->upstream,
       .priority = this->admitted.priority,
       .internal = this->admitted.route.internal,
       .careful = !this->admitted.IsIdempotent() || this->attempts > 0 ||
                  this->admitted.route.attempts == 1,
       .last_resort = step.kind == SlotStep::Kind::kLastResort,
       .objective = this->admitted.route.objective,
       .most_in_flight = step.kind == SlotStep::Kind::kAskIdle
                             ? this->context.board.FewInFlight(
                                   this->admitted.service, MonotonicNow())
                             : once::kAnyInFlight,
       .max_wait = waits ? this->LongestWait() : Duration{},
       .time_left = this->TimeLeft()});
  if (answer.granted) {
    this->context.note_start(this->next_id, *choice, answer);
    return choice;
  }
  if (answer.refusal.reason == once::RefusalReason::kConnectFailed) {
    this->context.note_end("reserve", *choice, answer.refusal);
  }
  search.OnRefused(step, *choice, answer);
  return std::nullopt;
}

std::optional<Choice> RequestRun::ChooseNext(const SlotStep& step,
                                             const SlotSearch& search) {
  if (step.kind != SlotStep::Kind::kAskFree &&
      step.kind != SlotStep::Kind::kAskIdle) {
    return step.choice;
  }
  const Instant now = MonotonicNow();
  if (!this->admitted.dedupe_key.empty()) {
    return search.asked_upstreams().empty()
               ? this->context.board.ChooseHome(this->admitted.service,
                                                this->admitted.dedupe_key, now)
               : std::nullopt;
  }
  std::set<std::string> tried = this->used;
  tried.insert(search.asked_upstreams().begin(),
               search.asked_upstreams().end());
  return this->context.board.Choose(
      this->admitted.service, tried,
      step.any_zone ? balancing::Reach::kAnyZone : balancing::Reach::kOwnZone,
      now);
}

// What an upstream waits for may come late: the request that it is part of is
// lost otherwise, together with what has been done for it.
Duration RequestRun::LongestWait() const {
  if (this->admitted.route.internal) {
    return std::max(this->TimeLeft() - this->admitted.route.objective,
                    kLeastWait);
  }
  const Instant latest = this->admitted.arrived +
                         PartOf(this->admitted.route.objective, kWaitPart);
  return std::max(latest - MonotonicNow(), kLeastWait);
}

void RequestRun::GiveUpAttempts(const char* reason) {
  for (const auto& [id, attempt] : this->running) {
    this->last = once::Unknown{.detail = reason};
    this->context.note_end("wait", attempt.choice, this->last);
  }
}

void RequestRun::CancelAttempts() {
  for (const auto& [id, attempt] : this->running) {
    boost::fibers::fiber([&runner = this->context.runner,
                          choice = attempt.choice, id = id] {
      runner.Cancel(choice, id);
    }).detach();
  }
  this->running.clear();
}

once::RunRequest RequestRun::MakeRun(const Choice& choice) const {
  return {.request_id = this->next_id,
          .incarnation = choice.incarnation,
          .organisation = this->admitted.organisation,
          .upstream = choice.upstream,
          .fingerprint = this->admitted.fingerprint,
          .idempotent = this->admitted.IsIdempotent(),
          .dedupe_key = this->admitted.dedupe_key,
          .time_left = this->TimeLeft(),
          .objective = this->admitted.route.objective,
          .caller_service = this->context.caller_service,
          .request = this->admitted.request};
}

Duration RequestRun::TimeLeft() const {
  return this->admitted.deadline - MonotonicNow();
}

}  // namespace kingcupstair::ingress
