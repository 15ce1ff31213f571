#ifndef COMPONENTS_INGRESS_PERMIT_CLIENT_H_
#define COMPONENTS_INGRESS_PERMIT_CLIENT_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "components/config/rules.h"
#include "components/ingress/admitted_request.h"
#include "components/ingress/caller_response.h"
#include "components/limits/permit_patience.h"
#include "components/limits/rate_pool.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

/// Acquires permits of organisations and retry tokens for requests from the
/// pool hosts. Safe to use from several threads; suspends the calling fiber.
class PermitClient {
 public:
  struct Options {
    /// Acquires one permit of an organisation from its pool host.
    std::function<limits::PermitGrant(const std::string& organisation,
                                      const std::string& service)>
        acquire;
    /// Takes a retry token. Returns false if the retry budget is used up.
    std::function<bool(const rpc::RetryTokenRequest& call)> try_retry;
    /// Returns the time by which this host responds to all its requests.
    std::function<Instant()> respond_by = [] { return Instant::max(); };
  };

  explicit PermitClient(Options options);

  /// Acquires a permit for a request and returns nothing, or returns the
  /// refusal if there is none. `rule` is the rate limit that the refusal
  /// states.
  std::optional<Problem> Acquire(const config::OrganisationRule& rule,
                                 const AdmittedRequest& admitted);

  /// Counts a request that needs no permit. The next TryRetry reports the count
  /// to the pool host, whose retry budget depends on the number of requests.
  void CountWithoutPermit(const AdmittedRequest& admitted);

  /// Takes a retry token for a request, also for a hedge. Returns false if the
  /// retry budget is used up.
  bool TryRetry(const AdmittedRequest& admitted);

 private:
  limits::PermitGrant WaitForPermit(const AdmittedRequest& admitted);
  /// Returns the delay before the next try to acquire a permit, or nothing if
  /// the request is to be refused now.
  std::optional<Duration> DelayBeforeNextAsk(
      const AdmittedRequest& admitted,
      const limits::PermitGrant& grant,
      limits::PermitWaitPolicy::RequestState& wait);
  int TakeUncountedRequests(const std::string& service);

  Options options;
  std::mutex mutex;
  limits::PermitWaitPolicy wait_policy;
  /// Number of requests without permits since the last TryRetry, by service.
  std::map<std::string, int> uncounted;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_PERMIT_CLIENT_H_
