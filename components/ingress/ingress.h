#ifndef COMPONENTS_INGRESS_INGRESS_H_
#define COMPONENTS_INGRESS_INGRESS_H_

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "components/control/rate_keeper.h"
#include "components/events/recorder.h"
#include "components/guard/crash_watch.h"
#include "components/http/message.h"
#include "components/ingress/attempt_runner.h"
#include "components/ingress/caller_answer.h"
#include "components/ingress/fleet_board.h"
#include "components/retry/retry_budget.h"

namespace kingcupstair::ingress {

/// Takes callers' requests for any route: finds the route and the organisation,
/// asks for a permit, and runs the request on some upstream. Safe to use from
/// several threads; suspends the calling fiber.
class Ingress {
 public:
  struct Options {
    /// True while this host must take no new work.
    std::function<bool()> isolated;
    /// Takes one permit for an organisation, wherever its pool is.
    std::function<limits::PermitGrant(const std::string& organisation)> acquire;
  };

  Ingress(Options options,
          const Snapshot<config::Configuration>& configuration,
          FleetBoard& board,
          AttemptRunner& runner,
          guard::CrashWatch& crashes,
          events::Recorder& recorder);

  /// Answers one request.
  http::Response Handle(const http::Request& request);

 private:
  struct Admitted;

  std::optional<Problem> CheckInService(const config::Configuration& current);
  std::optional<Problem> Authenticate(const config::Configuration& current,
                                      const http::Request& request,
                                      Admitted& admitted) const;
  std::optional<Problem> TakePermit(const Admitted& admitted) const;
  std::optional<Problem> CheckCrashes(const Admitted& admitted) const;
  http::Response RunWithRetries(const Admitted& admitted);
  std::optional<Choice> Choose(const Admitted& admitted,
                               const std::set<std::string>& tried);
  once::RunRequest MakeRun(const Admitted& admitted,
                           const Choice& choice) const;
  bool MayRetry();
  http::Response Refuse(const Admitted& admitted, Problem problem);
  void Count(const Admitted& admitted, const std::string& result);

  Options options;
  const Snapshot<config::Configuration>& configuration;
  FleetBoard& board;
  AttemptRunner& runner;
  guard::CrashWatch& crashes;
  events::Recorder& recorder;
  std::mutex budget_mutex;
  retry::RetryBudget budget;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_INGRESS_H_
