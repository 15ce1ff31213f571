#ifndef COMPONENTS_CONFIG_RULES_H_
#define COMPONENTS_CONFIG_RULES_H_

#include <string>
#include <variant>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::config {

/// A group of upstreams that answer the same routes.
struct ServiceRule {
  std::string name;
  /// Share of the known upstreams that ejection must leave in use, 0 to 1.
  double floor = 0.5;
  /// Requests one upstream runs at once when warm.
  int slots = 1;

  bool operator==(const ServiceRule&) const = default;
};

/// Whether a request may be run again after an unknown outcome.
enum class Repeat { kIdempotent, kOnce };

/// Who may use a route.
enum class Access { kKeyed, kOpen };

/// Requests of one method below one path prefix.
struct RouteRule {
  std::string method;
  std::string prefix;
  std::string service;
  Repeat repeat = Repeat::kOnce;
  Access access = Access::kKeyed;
  Duration deadline{std::chrono::seconds(5)};

  bool operator==(const RouteRule&) const = default;
};

/// A tenant: its rate over all hosts together and the digests of its keys.
struct OrganisationRule {
  std::string name;
  /// Requests a second.
  double rate = 0;
  /// Requests at once after a pause.
  double burst = 0;
  /// SHA-256 of each valid key, lower-case hexadecimal.
  std::vector<std::string> key_digests;

  bool operator==(const OrganisationRule&) const = default;
};

/// An availability zone taken out of service.
struct ZoneOutRule {
  std::string zone;

  bool operator==(const ZoneOutRule&) const = default;
};

/// An upstream taken out of service.
struct UpstreamOutRule {
  std::string upstream;

  bool operator==(const UpstreamOutRule&) const = default;
};

/// One line of the operators' file.
using Rule = std::variant<ServiceRule,
                          RouteRule,
                          OrganisationRule,
                          ZoneOutRule,
                          UpstreamOutRule>;

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_RULES_H_
