#ifndef COMPONENTS_CONFIG_RULES_H_
#define COMPONENTS_CONFIG_RULES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::config {

/// A group of upstreams that serve the same routes.
struct ServiceRule {
  std::string name;
  /// Minimum fraction of the known upstreams that ejection leaves in use, 0 to
  /// 1.
  double floor = 0.5;
  /// Requests that one upstream runs concurrently once it is warmed up.
  int slots = 1;
  /// Requests per second that an upstream can handle before it is warmed up. 0
  /// if warm-up follows the upstream's responses instead.
  double warmup_rate = 0;

  bool operator==(const ServiceRule&) const = default;
};

/// Whether a request may be retried after an unknown outcome.
enum class Idempotency { kIdempotent, kNonIdempotent };

/// Whether callers need a valid key to use a route.
enum class Access { kKeyed, kOpen };

/// A service that receives a weighted fraction of a route's requests.
struct WeightedService {
  std::string service;
  /// The fraction of requests is this weight divided by the sum of all weights
  /// of the route.
  double weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// Settings for requests with one method below one path prefix.
struct RouteRule {
  /// HTTP method in upper case. "ANY" matches every method.
  std::string method;
  /// Covers the path that equals the prefix and the paths below the prefix. A
  /// prefix that ends in a slash does not cover the path without that slash.
  std::string prefix;
  /// At least one service. Requests are split among several by weight.
  std::vector<WeightedService> services;
  /// Host header that the route applies to, in lower case. Empty for any host.
  std::string host;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  Access access = Access::kKeyed;
  /// Longest time that a caller waits for the response.
  Duration deadline{std::chrono::seconds(5)};
  /// Latency objective: a response within this time has full value.
  Duration objective{std::chrono::seconds(1)};
  /// 0 is the highest priority.
  int priority = 1;
  /// Maximum number of upstreams that one request may be sent to.
  int attempts = 4;
  /// True if the requests come from upstreams, as part of other requests. Those
  /// requests already hold a slot and fail if their internal requests fail.
  bool internal = false;

  bool operator==(const RouteRule&) const = default;
};

/// An organisation: its rate limit over all hosts and the digests of its keys.
struct OrganisationRule {
  std::string name;
  /// Requests per second.
  double rate = 0;
  /// Requests that may start at once after a period without requests.
  double burst = 0;
  /// True if no rate limit applies.
  bool unlimited = false;
  /// Overrides the priority of the route if set. 0 is the highest priority.
  std::optional<int> priority;
  /// SHA-256 digest of each valid key, in lower-case hexadecimal.
  std::vector<std::string> key_digests;

  bool operator==(const OrganisationRule&) const = default;
};

/// Takes an availability zone out of service.
struct ZoneOutRule {
  std::string zone;

  bool operator==(const ZoneOutRule&) const = default;
};

/// Takes an upstream out of service.
struct UpstreamOutRule {
  std::string upstream;

  bool operator==(const UpstreamOutRule&) const = default;
};

/// Orders that the traffic of a service moves to upstreams of a new version.
struct RolloutRule {
  std::string service;
  std::string version;
  /// Time after which the version is rolled back.
  Duration within{std::chrono::minutes(1)};

  bool operator==(const RolloutRule&) const = default;
};

/// Limits on the size and duration of what callers send.
struct CallersRule {
  int64_t header_bytes = 65'536;
  int64_t body_bytes = 16'777'216;
  Duration header_timeout{std::chrono::seconds(10)};
  Duration idle_timeout{std::chrono::seconds(60)};

  bool operator==(const CallersRule&) const = default;
};

/// One rule of the operators' rule file.
using Rule = std::variant<ServiceRule,
                          CallersRule,
                          RouteRule,
                          OrganisationRule,
                          ZoneOutRule,
                          UpstreamOutRule,
                          RolloutRule>;

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_RULES_H_
