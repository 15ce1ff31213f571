#ifndef COMPONENTS_INGRESS_CALLER_ANSWER_H_
#define COMPONENTS_INGRESS_CALLER_ANSWER_H_

#include <string>

#include "components/base/time.h"
#include "components/http/message.h"
#include "components/logging/log.h"
#include "components/once/outcome.h"

namespace kingcupstair::ingress {

/// A refusal or a failure as the caller gets it.
struct Problem {
  int status = 503;
  /// "not-run" or "unknown".
  std::string outcome = "not-run";
  std::string reason;
  std::string request_id;
  std::string request_id_header = "Kingcupstair-Request-Id";
  /// When coming back makes sense; zero when it does not.
  Duration retry_after{};
  /// What the decision rested on, for the log.
  std::vector<logging::Field> inputs;

  bool operator==(const Problem&) const = default;
};

/// The answer that tells the caller of a problem: the documented headers and a
/// JSON body.
http::Response AnswerFor(const Problem& problem);

/// How the fleet's own answers name a request.
struct AnswerName {
  std::string request_id;
  std::string request_id_header = "Kingcupstair-Request-Id";

  bool operator==(const AnswerName&) const = default;
};

/// The caller's answer to the outcome of its last attempt.
http::Response AnswerFor(const once::Outcome& outcome, const AnswerName& name);

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_CALLER_ANSWER_H_
