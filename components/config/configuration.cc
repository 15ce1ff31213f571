#include "components/config/configuration.h"

#include "absl/strings/str_cat.h"

namespace kingcupstair::config {
namespace {

constexpr std::string_view kAnyMethod = "ANY";

std::string RouteKey(std::string_view host,
                     std::string_view method,
                     std::string_view prefix) {
  std::string key(host);
  key.push_back(' ');
  key.append(method);
  key.push_back(' ');
  key.append(prefix);
  return key;
}

template <typename Map>
auto FindOrNull(const Map& map, std::string_view key)
    -> decltype(&map.begin()->second) {
  const auto found = map.find(std::string(key));
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace

// Builds a configuration from parsed rules. A rule that conflicts with an
// earlier rule is reported as an error at the line of the later rule.
class Configuration::Builder {
 public:
  Builder(uint64_t revision, std::vector<ParsedRule> rules)
      : rules(std::move(rules)) {
    this->built.revision_number = revision;
  }

  std::variant<Configuration, std::vector<RuleError>> Build() {
    for (const ParsedRule& parsed_rule : this->rules) {
      this->line = parsed_rule.line;
      std::visit([this](const auto& rule) { this->Add(rule); },
                 parsed_rule.rule);
    }
    this->CheckServicesAreDefined();
    if (!this->errors.empty()) {
      return std::move(this->errors);
    }
    return std::move(this->built);
  }

 private:
  void AddError(std::string reason) {
    this->errors.push_back(
        {.line = this->line, .column = 1, .reason = std::move(reason)});
  }

  void Add(const ServiceRule& rule) {
    if (!this->built.services.emplace(rule.name, rule).second) {
      this->AddError(absl::StrCat("service '", rule.name, "' stands twice"));
    }
  }

  void Add(const RouteRule& rule) {
    const std::string key = RouteKey(rule.host, rule.method, rule.prefix);
    if (!this->built.routes.emplace(key, rule).second) {
      this->AddError(absl::StrCat("route '", key, "' stands twice"));
    }
  }

  void Add(const OrganisationRule& rule) {
    if (!this->built.organisations.emplace(rule.name, rule).second) {
      this->AddError(
          absl::StrCat("organisation '", rule.name, "' stands twice"));
    }
    for (const std::string& digest : rule.key_digests) {
      const auto [entry, added] =
          this->built.organisation_by_key_digest.emplace(digest, rule.name);
      if (!added) {
        this->AddError(absl::StrCat(
            "this key already belongs to organisation '", entry->second, "'"));
      }
    }
  }

  void Add(const CallersRule& rule) { this->built.callers_rule = rule; }

  void Add(const ZoneOutRule& rule) {
    this->built.out_of_service_zones.insert(rule.zone);
  }

  void Add(const UpstreamOutRule& rule) {
    this->built.out_of_service_upstreams.insert(rule.upstream);
  }

  void Add(const RolloutRule& rule) {
    if (!this->built.ordered_rollouts.emplace(rule.service, rule).second) {
      this->AddError(absl::StrCat("the roll-out of service '", rule.service,
                                  "' stands twice"));
    }
  }

  void CheckServicesAreDefined() {
    for (const ParsedRule& parsed_rule : this->rules) {
      const auto* route = std::get_if<RouteRule>(&parsed_rule.rule);
      if (route == nullptr) {
        continue;
      }
      this->line = parsed_rule.line;
      for (const WeightedService& target : route->services) {
        if (!this->built.services.contains(target.service)) {
          this->AddError(
              absl::StrCat("undefined service '", target.service, "'"));
        }
      }
    }
  }

  std::vector<ParsedRule> rules;
  Configuration built;
  std::vector<RuleError> errors;
  int line = 0;
};

std::variant<Configuration, std::vector<RuleError>> Configuration::Build(
    uint64_t revision,
    std::string_view text) {
  ParseResult parsed = ParseRules(text);
  if (auto* errors = std::get_if<std::vector<RuleError>>(&parsed)) {
    return std::move(*errors);
  }
  return Builder(revision, std::get<std::vector<ParsedRule>>(std::move(parsed)))
      .Build();
}

Configuration Configuration::AtRevision(uint64_t revision) const {
  Configuration same_rules = *this;
  same_rules.revision_number = revision;
  return same_rules;
}

const RouteRule* Configuration::FindRouteWithPrefix(
    std::string_view host,
    std::string_view method,
    std::string_view prefix) const {
  const auto* route = FindOrNull(this->routes, RouteKey(host, method, prefix));
  return route != nullptr
             ? route
             : FindOrNull(this->routes, RouteKey(host, kAnyMethod, prefix));
}

// Looks up every prefix of the path that ends at a segment boundary, longest
// first. The cost grows with the number of path segments, not with the number
// of routes.
const RouteRule* Configuration::FindCoveringRoute(std::string_view host,
                                                  std::string_view method,
                                                  std::string_view path) const {
  if (const RouteRule* route = this->FindRouteWithPrefix(host, method, path)) {
    return route;
  }
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    if (const auto* route = this->FindRouteWithPrefix(
            host, method, path.substr(0, slash + 1))) {
      return route;
    }
    if (slash == 0) {
      return nullptr;
    }
    if (const auto* route =
            this->FindRouteWithPrefix(host, method, path.substr(0, slash))) {
      return route;
    }
  }
  return nullptr;
}

const RouteRule* Configuration::FindRoute(std::string_view host,
                                          std::string_view method,
                                          std::string_view path) const {
  path = path.substr(0, path.find_first_of("?#"));
  if (path.empty() || path.front() != '/') {
    return nullptr;
  }
  if (const RouteRule* route = this->FindCoveringRoute(host, method, path)) {
    return route;
  }
  return this->FindCoveringRoute("", method, path);
}

const ServiceRule* Configuration::FindService(std::string_view name) const {
  return FindOrNull(this->services, name);
}

const OrganisationRule* Configuration::FindOrganisation(
    std::string_view name) const {
  return FindOrNull(this->organisations, name);
}

const OrganisationRule* Configuration::FindByKeyDigest(
    std::string_view digest) const {
  const std::string* name =
      FindOrNull(this->organisation_by_key_digest, digest);
  return name == nullptr ? nullptr : this->FindOrganisation(*name);
}

bool Configuration::IsZoneOutOfService(const std::string& zone) const {
  return this->out_of_service_zones.contains(zone);
}

bool Configuration::IsUpstreamOutOfService(const std::string& upstream) const {
  return this->out_of_service_upstreams.contains(upstream);
}

}  // namespace kingcupstair::config
