#ifndef COMPONENTS_INGRESS_PERMIT_DESK_H_
#define COMPONENTS_INGRESS_PERMIT_DESK_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "components/config/rules.h"
#include "components/ingress/admitted_request.h"
#include "components/ingress/caller_answer.h"
#include "components/limits/permit_patience.h"
#include "components/limits/rate_pool.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

/// Gets requests the permits of their organisations, and leave to be sent a
/// second time. Safe to use from several threads; suspends the calling fiber.
class PermitDesk {
 public:
  struct Options {
    /// Takes one permit for an organisation, wherever its pool is.
    std::function<limits::PermitGrant(const std::string& organisation,
                                      const std::string& service)>
        acquire;
    /// Leave to send a request once more.
    std::function<bool(const rpc::RetryCall& call)> may_retry;
  };

  explicit PermitDesk(Options options);

  /// Takes a permit under `rule`, or says why there is none.
  std::optional<Problem> Take(const config::OrganisationRule& rule,
                              const AdmittedRequest& admitted);

  /// A request needs no permit.
  void PassWithout(const AdmittedRequest& admitted);

  bool MayRetry(const AdmittedRequest& admitted);

 private:
  limits::PermitGrant WaitForPermit(const AdmittedRequest& admitted);
  std::optional<Duration> PauseForPermit(const AdmittedRequest& admitted,
                                         const limits::PermitGrant& grant,
                                         limits::PermitPatience::Wait& wait);
  int TakeUncounted(const std::string& service);

  Options options;
  std::mutex mutex;
  limits::PermitPatience patience;
  /// Requests by service that needed no permits, since the last retry.
  std::map<std::string, int> uncounted;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_PERMIT_DESK_H_
