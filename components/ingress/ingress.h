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
#include "components/guard/shared_crash_ledger.h"
#include "components/http/message.h"
#include "components/ingress/admitted_request.h"
#include "components/ingress/attempt_runner.h"
#include "components/ingress/caller_response.h"
#include "components/ingress/fleet_board.h"
#include "components/ingress/permit_client.h"
#include "components/membership/stop_schedule.h"

namespace kingcupstair::ingress {

/// Handles requests of callers for any route: finds the route and the
/// organisation, acquires a permit, and runs the request on an upstream. Safe
/// to use from several threads; suspends the calling fiber.
class Ingress {
 public:
  struct Options {
    /// Returns true while this host is isolated and must refuse new requests.
    std::function<bool()> isolated;
    PermitClient::Options permits;
    std::shared_ptr<const HeaderNames> header_names =
        std::make_shared<const HeaderNames>();
    /// The service that this host is deployed next to; may be empty.
    std::string caller_service;
    /// Counts a call to `service` by an upstream of this host, and returns the
    /// probability that the run which makes the call is a retry.
    std::function<double(const std::string& service)>
        repeat_probability_of_call;
  };

  Ingress(Options options,
          const Snapshot<config::Configuration>& configuration,
          const Snapshot<membership::StopSchedule>& stop_schedule,
          UpstreamRegistry& registry,
          AttemptRunner& runner,
          guard::SharedCrashLedger& crashes,
          events::Recorder& recorder);

  /// Returns the response to one request. `caller` is cancelled when the caller
  /// disconnects.
  http::Response Handle(const http::Request& request,
                        const CancellationPtr& caller);

 private:
  /// Checks the request, acquires a permit and fills in `admitted`. Returns the
  /// refusal, or nothing if the request may run.
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
  /// Returns `headers` without keys and without fields reserved for the fleet.
  http::Headers HeadersForUpstream(const http::Headers& headers) const;
  /// Returns the time until the deadline of the request: the deadline of the
  /// route, or the caller's if that is shorter.
  Duration RequestTimeout(const AdmittedRequest& admitted) const;
  /// Chooses a service of the route at random by weight.
  std::string ChooseService(const config::RouteRule& route);
  http::Response Run(const AdmittedRequest& admitted);
  http::Response Refuse(const AdmittedRequest& admitted, Problem problem);
  void RecordOutcome(const AdmittedRequest& admitted,
                     const once::Outcome& outcome);
  void CountRequest(const AdmittedRequest& admitted, const std::string& result);

  Options options;
  const Snapshot<config::Configuration>& configuration;
  const Snapshot<membership::StopSchedule>& stop_schedule;
  UpstreamRegistry& registry;
  AttemptRunner& runner;
  guard::SharedCrashLedger& crashes;
  events::Recorder& recorder;
  PermitClient permits;
  std::mutex mutex;
  std::mt19937_64 random{std::random_device{}()};
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_INGRESS_H_
