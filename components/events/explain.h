#ifndef COMPONENTS_EVENTS_EXPLAIN_H_
#define COMPONENTS_EVENTS_EXPLAIN_H_

#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::events {

/// The log of one host.
struct HostLog {
  /// Where it was read from, named in front of its lines.
  std::string source;
  std::string text;

  bool operator==(const HostLog&) const = default;
};

/// The path of one request through the fleet, from the logs of several hosts:
/// the lines that name it and those that name its attempts, by time, one text
/// line each. Lines that are no JSON are passed over.
std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<HostLog>& logs);

}  // namespace kingcupstair::events

#endif  // COMPONENTS_EVENTS_EXPLAIN_H_
