#ifndef COMPONENTS_CONFIG_RULES_H_
#define COMPONENTS_CONFIG_RULES_H_

#include <cstdint>
#include <optional>
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
  /// Requests a second that an upstream bears while it is cold; 0 when it is
  /// warmed up by its answers instead.
  double warmup_rate = 0;

  bool operator==(const ServiceRule&) const = default;
};

/// Whether a request may be run again after an unknown outcome.
enum class Repeat { kIdempotent, kOnce };

/// Who may use a route.
enum class Access { kKeyed, kOpen };

/// A service that gets a part of a route's requests.
struct RoutePart {
  std::string service;
  /// Its part of the sum of all weights of the route.
  double weight = 1;

  bool operator==(const RoutePart&) const = default;
};

/// Requests of one method below one path prefix.
struct RouteRule {
  /// "ANY" stands for all methods.
  std::string method;
  /// One that ends in a slash covers only what lies below it.
  std::string prefix;
  /// At least one; several split the route by weight.
  std::vector<RoutePart> parts;
  /// The caller's Host header in lower case; empty for any.
  std::string host;
  Repeat repeat = Repeat::kOnce;
  Access access = Access::kKeyed;
  /// The longest time a caller is kept waiting.
  Duration deadline{std::chrono::seconds(5)};
  /// The time within which an answer is as useful as it can be.
  Duration objective{std::chrono::seconds(1)};
  /// 0 is the most urgent.
  int priority = 1;
  /// Upstreams that one request may be sent to.
  int attempts = 4;
  /// Its requests come from upstreams, as part of others that hold a slot
  /// already and fail with them.
  bool internal = false;

  bool operator==(const RouteRule&) const = default;
};

/// A tenant: its rate over all hosts together and the digests of its keys.
struct OrganisationRule {
  std::string name;
  /// Requests a second.
  double rate = 0;
  /// Requests at once after a pause.
  double burst = 0;
  /// No rate applies.
  bool unlimited = false;
  /// Goes before the priority of the route when set; 0 is the most urgent.
  std::optional<int> priority;
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

/// What callers may send, and how long they may take over it.
struct CallersRule {
  int64_t header_bytes = 65'536;
  int64_t body_bytes = 16'777'216;
  Duration header_timeout{std::chrono::seconds(10)};
  Duration idle_timeout{std::chrono::seconds(60)};

  bool operator==(const CallersRule&) const = default;
};

/// One line of the operators' file.
using Rule = std::variant<ServiceRule,
                          CallersRule,
                          RouteRule,
                          OrganisationRule,
                          ZoneOutRule,
                          UpstreamOutRule>;

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_RULES_H_
