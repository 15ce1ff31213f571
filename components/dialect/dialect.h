#ifndef COMPONENTS_DIALECT_DIALECT_H_
#define COMPONENTS_DIALECT_DIALECT_H_

#include <string>

namespace kingcupstair {

/// The header fields in which callers, the fleet and upstreams talk of a
/// request. The defaults are the fleet's own; a site may have others. An empty
/// name stands for a field that the site does not have.
struct Dialect {
  /// Names a request.
  std::string request_id = "Kingcupstair-Request-Id";
  /// Callers choose that name, a new one for each try; it goes on to the
  /// upstream as it is. Otherwise the fleet chooses it.
  bool callers_name_requests = false;
  /// Milliseconds for which the answer is waited for.
  std::string deadline = "Kingcupstair-Deadline-Ms";
  /// The organisation for which an upstream runs the request.
  std::string organisation = "Kingcupstair-Organisation";
  /// What stands before the key in the Authorization header.
  std::string key_scheme = "Bearer ";
  /// An upstream with another id answers 421 and does not run the request.
  std::string expected_upstream;
  /// The service beside which the request entered the fleet.
  std::string caller_service;
  /// An upstream's answer that bears it says that the request was not run.
  std::string not_run;

  bool operator==(const Dialect&) const = default;
};

}  // namespace kingcupstair

#endif  // COMPONENTS_DIALECT_DIALECT_H_
