#ifndef COMPONENTS_CONFIG_CONFIGURATION_H_
#define COMPONENTS_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "components/config/parse.h"

namespace kingcupstair::config {

/// The operators' rules at one revision, validated as a whole and indexed for
/// lookup.
class Configuration {
 public:
  /// Creates the configuration of revision 0, which has no rules.
  Configuration() = default;

  /// Parses and validates `text`. Returns the configuration, or all errors if
  /// there are any.
  static std::variant<Configuration, std::vector<RuleError>> Build(
      uint64_t revision,
      std::string_view text);

  uint64_t revision() const { return this->revision_number; }

  /// Returns the same rules at another revision.
  Configuration AtRevision(uint64_t revision) const;

  /// Returns the route for a request, or null if no route covers `path`.
  /// Routes for `host` take precedence over routes for any host, then longer
  /// path prefixes over shorter ones, then routes for `method` over routes for
  /// any method.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view method,
                             std::string_view path) const;

  /// Returns the limits on what callers may send.
  const CallersRule& callers() const { return this->callers_rule; }

  /// Returns the service named `name`, or null.
  const ServiceRule* FindService(std::string_view name) const;

  /// Returns the organisation named `name`, or null.
  const OrganisationRule* FindOrganisation(std::string_view name) const;

  /// Returns the organisation that owns the key with this digest, or null.
  const OrganisationRule* FindByKeyDigest(std::string_view digest) const;

  /// Returns true if an operator took the availability zone out of service.
  bool IsZoneOutOfService(const std::string& zone) const;

  /// Returns true if an operator took the upstream out of service.
  bool IsUpstreamOutOfService(const std::string& upstream) const;

  const std::set<std::string>& zones_out_of_service() const {
    return this->out_of_service_zones;
  }
  const std::set<std::string>& upstreams_out_of_service() const {
    return this->out_of_service_upstreams;
  }

  /// Returns the roll-outs that are ordered, by service.
  const std::map<std::string, RolloutRule>& rollouts() const {
    return this->ordered_rollouts;
  }

  bool operator==(const Configuration&) const = default;

 private:
  class Builder;

  /// Returns the route with the longest prefix that covers `path` among the
  /// routes for exactly this `host` (empty: any host), or null.
  const RouteRule* FindCoveringRoute(std::string_view host,
                                     std::string_view method,
                                     std::string_view path) const;

  /// Returns the route with exactly this prefix, for `method` if there is one
  /// and otherwise for any method, or null.
  const RouteRule* FindRouteWithPrefix(std::string_view host,
                                       std::string_view method,
                                       std::string_view prefix) const;

  uint64_t revision_number = 0;
  std::unordered_map<std::string, ServiceRule> services;
  CallersRule callers_rule;
  /// The key is host, method and prefix, separated by spaces.
  std::unordered_map<std::string, RouteRule> routes;
  std::unordered_map<std::string, OrganisationRule> organisations;
  std::unordered_map<std::string, std::string> organisation_by_key_digest;
  std::set<std::string> out_of_service_zones;
  std::set<std::string> out_of_service_upstreams;
  std::map<std::string, RolloutRule> ordered_rollouts;
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_CONFIGURATION_H_
