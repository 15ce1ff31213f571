#ifndef COMPONENTS_INGRESS_ADMITTED_REQUEST_H_
#define COMPONENTS_INGRESS_ADMITTED_REQUEST_H_

#include <string>

#include "components/base/cancellation.h"
#include "components/base/time.h"
#include "components/config/rules.h"
#include "components/http/message.h"
#include "components/once/run_request.h"

namespace kingcupstair::ingress {

/// A caller's request with what the ingress has found for it: the route, the
/// organisation, the priority and the deadline.
struct AdmittedRequest {
  std::string request_id;
  config::RouteRule route;
  /// The service of the route that this request goes to; a route may be split
  /// over several services by weight.
  std::string service;
  std::string organisation = once::kNoOrganisation;
  /// 0 is the most urgent.
  int priority = 1;
  http::Request request;
  once::Fingerprint fingerprint = 0;
  /// Hash of the organisation, the service and the caller's Idempotency-Key.
  /// Set only for a non-idempotent request with that header on a keyed route.
  std::string dedupe_key;
  /// For a call by an upstream of this host: the probability that the run which
  /// makes the call is a retry.
  double repeat_probability = 0;
  Instant arrived;
  Instant deadline;
  /// Cancelled when the caller disconnects.
  CancellationPtr caller;

  bool IsIdempotent() const {
    return this->route.idempotency == config::Idempotency::kIdempotent;
  }
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_ADMITTED_REQUEST_H_
