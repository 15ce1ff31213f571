#ifndef COMPONENTS_INGRESS_INGRESS_H_
#define COMPONENTS_INGRESS_INGRESS_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "components/dialect/dialect.h"
#include "components/events/recorder.h"
#include "components/guard/crash_watch.h"
#include "components/http/message.h"
#include "components/ingress/admitted_request.h"
#include "components/ingress/attempt_runner.h"
#include "components/ingress/caller_answer.h"
#include "components/ingress/fleet_board.h"
#include "components/ingress/permit_desk.h"

namespace kingcupstair::ingress {

/// Takes callers' requests for any route: finds the route and the organisation,
/// asks for a permit, and runs the request on some upstream. Safe to use from
/// several threads; suspends the calling fiber.
class Ingress {
 public:
  struct Options {
    /// True while this host must take no new work.
    std::function<bool()> isolated;
    PermitDesk::Options permits;
    std::shared_ptr<const Dialect> dialect = std::make_shared<const Dialect>();
    /// The service beside which this host stands; may be empty.
    std::string caller_service;
  };

  Ingress(Options options,
          const Snapshot<config::Configuration>& configuration,
          FleetBoard& board,
          AttemptRunner& runner,
          guard::CrashWatch& crashes,
          events::Recorder& recorder);

  /// Answers one request. `caller` is cancelled when the caller goes away.
  http::Response Handle(const http::Request& request,
                        const CancellationPtr& caller);

 private:
  std::optional<Problem> Admit(const config::Configuration& current,
                               AdmittedRequest& admitted);
  std::optional<Problem> CheckInService(const config::Configuration& current);
  std::optional<Problem> FindRoute(const config::Configuration& current,
                                   AdmittedRequest& admitted);
  std::optional<Problem> Authenticate(const config::Configuration& current,
                                      AdmittedRequest& admitted) const;
  std::optional<Problem> TakePermit(const config::Configuration& current,
                                    const AdmittedRequest& admitted);
  std::optional<Problem> CheckCrashes(const AdmittedRequest& admitted) const;
  http::Headers HeadersForUpstream(const http::Headers& headers) const;
  Duration TimeFor(const AdmittedRequest& admitted) const;
  std::string ChoosePart(const config::RouteRule& route);
  http::Response Run(const AdmittedRequest& admitted);
  http::Response Refuse(const AdmittedRequest& admitted, Problem problem);
  void NoteOutcome(const AdmittedRequest& admitted,
                   const once::Outcome& outcome);
  void Count(const AdmittedRequest& admitted, const std::string& result);

  Options options;
  const Snapshot<config::Configuration>& configuration;
  FleetBoard& board;
  AttemptRunner& runner;
  guard::CrashWatch& crashes;
  events::Recorder& recorder;
  PermitDesk permits;
  std::mutex mutex;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_INGRESS_H_
