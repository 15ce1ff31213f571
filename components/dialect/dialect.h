#ifndef COMPONENTS_DIALECT_DIALECT_H_
#define COMPONENTS_DIALECT_DIALECT_H_

#include <string>

namespace kingcupstair {

/// Names of the header fields that callers, the fleet and upstreams use for a
/// request. The defaults are the fleet's own; a site may set others. An empty
/// name means that the site has no such field.
struct HeaderNames {
  /// Field with the request id.
  std::string request_id = "Kingcupstair-Request-Id";
  /// If true, callers choose the request id, a new one for each of their tries,
  /// and the upstream receives it unchanged. If false, the fleet generates it.
  bool callers_choose_request_ids = false;
  /// Field with the remaining time for the response, in milliseconds.
  std::string deadline = "Kingcupstair-Deadline-Ms";
  /// Field with the organisation for which an upstream runs the request.
  std::string organisation = "Kingcupstair-Organisation";
  /// Prefix of the API key in the Authorization header.
  std::string authorization_prefix = "Bearer ";
  /// Field with the id of the upstream that the request is meant for. An
  /// upstream with another id responds with status 421 and does not run the
  /// request.
  std::string expected_upstream;
  /// Field with the service on whose host the request entered the fleet.
  std::string caller_service;
  /// Response field by which an upstream reports that it did not run the
  /// request.
  std::string not_run;
  /// Response field with the number of requests a second that an upstream takes
  /// from all hosts together, for as long as its responses have the field.
  std::string rate_limit = "Kingcupstair-Rate-Limit";
  /// Response field whose value is 1 if the upstream leaves.
  std::string leaving = "Kingcupstair-Leaving";

  bool operator==(const HeaderNames&) const = default;
};

}  // namespace kingcupstair

#endif  // COMPONENTS_DIALECT_DIALECT_H_
