#ifndef COMPONENTS_EVENTS_EXPLAIN_H_
#define COMPONENTS_EVENTS_EXPLAIN_H_

#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::events {

/// The log of one host.
struct HostLog {
  /// Origin of the log, printed in front of its lines.
  std::string source;
  std::string text;

  bool operator==(const HostLog&) const = default;
};

/// Returns the path of one request through the fleet, from the logs of several
/// hosts: the log lines that name the request or one of its attempts, in order
/// of time, as one text line each. Lines that are not JSON are skipped.
std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<HostLog>& logs);

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_EXPLAIN_H_
