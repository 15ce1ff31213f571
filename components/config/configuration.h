#ifndef COMPONENTS_CONFIG_CONFIGURATION_H_
#define COMPONENTS_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "components/config/parse.h"

namespace kingcupstair::config {

/// The operators' rules at one revision, checked as a whole and indexed.
class Configuration {
 public:
  /// Configuration at revision 0: no rules at all.
  Configuration() = default;

  /// Parses and checks `text`; gives every fault when there is any.
  static std::variant<Configuration, std::vector<RuleError>> Build(
      uint64_t revision,
      std::string_view text);

  uint64_t revision() const { return this->revision_number; }

  /// The route with the longest prefix that covers `path`, or null. Routes of
  /// `host` go before those of any host, then longer prefixes before shorter
  /// ones, then routes of `method` before those of any method.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view method,
                             std::string_view path) const;

  /// What callers may send.
  const CallersRule& callers() const { return this->callers_rule; }

  /// The service named `name`, or null.
  const ServiceRule* FindService(std::string_view name) const;

  /// The organisation named `name`, or null.
  const OrganisationRule* FindOrganisation(std::string_view name) const;

  /// The organisation that holds the key with this digest, or null.
  const OrganisationRule* FindByKeyDigest(std::string_view digest) const;

  bool IsZoneOut(const std::string& zone) const;
  bool IsUpstreamOut(const std::string& upstream) const;

  const std::set<std::string>& zones_out() const { return this->zones; }
  const std::set<std::string>& upstreams_out() const { return this->upstreams; }

  bool operator==(const Configuration&) const = default;

 private:
  class Builder;

  const RouteRule* FindBelow(std::string_view host,
                             std::string_view method,
                             std::string_view path) const;
  const RouteRule* FindExact(std::string_view host,
                             std::string_view method,
                             std::string_view prefix) const;

  uint64_t revision_number = 0;
  std::unordered_map<std::string, ServiceRule> services;
  CallersRule callers_rule;
  /// By host, method and prefix with spaces between.
  std::unordered_map<std::string, RouteRule> routes;
  std::unordered_map<std::string, OrganisationRule> organisations;
  std::unordered_map<std::string, std::string> organisation_by_digest;
  std::set<std::string> zones;
  std::set<std::string> upstreams;
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_CONFIGURATION_H_
