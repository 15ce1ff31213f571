#ifndef COMPONENTS_INGRESS_ADMITTED_REQUEST_H_
#define COMPONENTS_INGRESS_ADMITTED_REQUEST_H_

#include <string>

#include "components/base/cancellation.h"
#include "components/base/time.h"
#include "components/config/rules.h"
#include "components/http/message.h"
#include "components/once/run_request.h"

namespace kingcupstair::ingress {

/// A request on its way through the ingress.
struct AdmittedRequest {
  std::string request_id;
  config::RouteRule route;
  /// The part of the route that this request goes to.
  std::string service;
  std::string organisation = once::kNoOrganisation;
  /// 0 is the most urgent.
  int priority = 1;
  http::Request request;
  once::Fingerprint fingerprint = 0;
  std::string dedupe_key;
  Instant arrived;
  Instant deadline;
  CancellationPtr caller;

  bool IsIdempotent() const {
    return this->route.repeat == config::Repeat::kIdempotent;
  }
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_ADMITTED_REQUEST_H_
