#ifndef COMPONENTS_INGRESS_CALLER_RESPONSE_H_
#define COMPONENTS_INGRESS_CALLER_RESPONSE_H_

#include <string>

#include "components/base/time.h"
#include "components/http/message.h"
#include "components/logging/log.h"
#include "components/once/outcome.h"

namespace kingcupstair::ingress {

/// A refusal or a failure as reported to the caller.
struct Problem {
  int status = 503;
  /// "not-run" or "unknown".
  std::string outcome = "not-run";
  std::string reason;
  std::string request_id;
  std::string request_id_header = "Kingcupstair-Request-Id";
  /// Delay after which a retry by the caller makes sense; zero if none does.
  Duration retry_after{};
  /// The values that the decision was based on, for the log.
  std::vector<logging::Field> inputs;

  bool operator==(const Problem&) const = default;
};

/// Builds the response to a refused or failed request: the documented headers
/// and a JSON body.
http::Response MakeResponse(const Problem& problem);

/// The header field that carries the request id in the fleet's responses.
struct RequestIdField {
  std::string request_id;
  std::string request_id_header = "Kingcupstair-Request-Id";

  bool operator==(const RequestIdField&) const = default;
};

/// Builds the response to the caller from the outcome of the last attempt.
http::Response MakeResponse(const once::Outcome& outcome,
                            const RequestIdField& id_field);

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_CALLER_RESPONSE_H_
