#ifndef COMPONENTS_INGRESS_REQUEST_RUN_H_
#define COMPONENTS_INGRESS_REQUEST_RUN_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "components/ingress/admitted_request.h"
#include "components/ingress/attempt_runner.h"
#include "components/ingress/fleet_board.h"
#include "components/ingress/slot_search.h"
#include "components/retry/retry_policy.h"

namespace kingcupstair::ingress {

/// Carries one request through its attempts: finds slots, starts attempts,
/// repeats what may be repeated, and gives the final outcome. Lives on one
/// fiber, and its attempts on others of the same thread.
class RequestRun {
 public:
  /// What the run needs of its surroundings.
  struct Context {
    FleetBoard& board;
    AttemptRunner& runner;
    /// Takes leave to send the request once more.
    std::function<bool()> may_retry;
    /// Logs that an attempt at `choice` begins, and what the choice rested on.
    std::function<void(const std::string& attempt,
                       const Choice& choice,
                       const rpc::SlotAnswer& slot)>
        note_start;
    /// Logs what became of an attempt at `choice`, and at which step.
    std::function<void(const char* step,
                       const Choice& choice,
                       const once::Outcome& outcome)>
        note_end;
    std::string caller_service;
  };

  RequestRun(Context context, const AdmittedRequest& admitted);

  /// The final outcome; nothing when the caller went away.
  std::optional<once::Outcome> Execute();

 private:
  struct Attempt {
    Choice choice;
    Instant started;
  };
  struct Results;

  std::optional<Choice> FindSlot(bool may_wait);
  std::optional<Choice> AskFor(const SlotStep& step, SlotSearch& search);
  std::optional<Choice> ChooseNext(const SlotStep& step,
                                   const SlotSearch& search);
  Duration LongestWait() const;
  bool StartAttempt(bool may_wait);
  bool WaitForResult(Instant until);
  bool TakeResult();
  bool StartAgain(const once::Outcome& outcome);
  bool StartRetry(bool may_wait);
  void Hedge();
  bool IsHedgeDue(Instant now) const;
  Instant NextWake(Instant now) const;
  void CancelAttempts();
  void GiveUpAttempts(const char* reason);
  once::RunRequest MakeRun(const Choice& choice) const;
  Duration TimeLeft() const;

  Context context;
  const AdmittedRequest& admitted;
  std::shared_ptr<Results> results;
  std::string next_id;
  std::map<std::string, Attempt> running;
  std::set<std::string> used;
  int attempts = 0;
  int upstreams_broken = 0;
  bool hedged = false;
  /// When a second attempt is due, if it was refused before.
  Instant hedge_again;
  bool must_answer = false;
  once::Outcome last{
      once::NotRun{.reason = once::RefusalReason::kUpstreamGone}};
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_REQUEST_RUN_H_
