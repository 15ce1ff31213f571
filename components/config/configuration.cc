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
auto FindIn(const Map& map, std::string_view key)
    -> decltype(&map.begin()->second) {
  const auto found = map.find(std::string(key));
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace

// Adds rules one by one; a rule that clashes with an earlier one is a fault at
// its own line.
class Configuration::Builder {
 public:
  Builder(uint64_t revision, std::vector<PlacedRule> rules)
      : rules(std::move(rules)) {
    this->built.revision_number = revision;
  }

  std::variant<Configuration, std::vector<RuleError>> Build() {
    for (const PlacedRule& placed : this->rules) {
      this->line = placed.line;
      std::visit([this](const auto& rule) { this->Add(rule); }, placed.rule);
    }
    this->CheckServicesExist();
    if (!this->errors.empty()) {
      return std::move(this->errors);
    }
    return std::move(this->built);
  }

 private:
  void Fail(std::string reason) {
    this->errors.push_back(
        {.line = this->line, .column = 1, .reason = std::move(reason)});
  }

  void Add(const ServiceRule& rule) {
    if (!this->built.services.emplace(rule.name, rule).second) {
      this->Fail(absl::StrCat("service '", rule.name, "' stands twice"));
    }
  }

  void Add(const RouteRule& rule) {
    const std::string key = RouteKey(rule.host, rule.method, rule.prefix);
    if (!this->built.routes.emplace(key, rule).second) {
      this->Fail(absl::StrCat("route '", key, "' stands twice"));
    }
  }

  void Add(const OrganisationRule& rule) {
    if (!this->built.organisations.emplace(rule.name, rule).second) {
      this->Fail(absl::StrCat("organisation '", rule.name, "' stands twice"));
    }
    for (const std::string& digest : rule.key_digests) {
      const auto [at, added] =
          this->built.organisation_by_digest.emplace(digest, rule.name);
      if (!added) {
        this->Fail(absl::StrCat("this key is already that of organisation '",
                                at->second, "'"));
      }
    }
  }

  void Add(const CallersRule& rule) { this->built.callers_rule = rule; }

  void Add(const ZoneOutRule& rule) { this->built.zones.insert(rule.zone); }

  void Add(const UpstreamOutRule& rule) {
    this->built.upstreams.insert(rule.upstream);
  }

  void CheckServicesExist() {
    for (const PlacedRule& placed : this->rules) {
      const auto* route = std::get_if<RouteRule>(&placed.rule);
      if (route == nullptr) {
        continue;
      }
      this->line = placed.line;
      for (const RoutePart& part : route->parts) {
        if (!this->built.services.contains(part.service)) {
          this->Fail(absl::StrCat("no service '", part.service, "'"));
        }
      }
    }
  }

  std::vector<PlacedRule> rules;
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
  return Builder(revision, std::get<std::vector<PlacedRule>>(std::move(parsed)))
      .Build();
}

const RouteRule* Configuration::FindExact(std::string_view host,
                                          std::string_view method,
                                          std::string_view prefix) const {
  const auto* route = FindIn(this->routes, RouteKey(host, method, prefix));
  return route != nullptr
             ? route
             : FindIn(this->routes, RouteKey(host, kAnyMethod, prefix));
}

// Cuts the path at one slash after the other, so the cost grows with the
// segments of the path and not with the number of routes.
const RouteRule* Configuration::FindBelow(std::string_view host,
                                          std::string_view method,
                                          std::string_view path) const {
  if (const RouteRule* route = this->FindExact(host, method, path)) {
    return route;
  }
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    if (const auto* route =
            this->FindExact(host, method, path.substr(0, slash + 1))) {
      return route;
    }
    if (slash == 0) {
      return nullptr;
    }
    if (const auto* route =
            this->FindExact(host, method, path.substr(0, slash))) {
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
  if (const RouteRule* route = this->FindBelow(host, method, path)) {
    return route;
  }
  return this->FindBelow("", method, path);
}

const ServiceRule* Configuration::FindService(std::string_view name) const {
  return FindIn(this->services, name);
}

const OrganisationRule* Configuration::FindOrganisation(
    std::string_view name) const {
  return FindIn(this->organisations, name);
}

const OrganisationRule* Configuration::FindByKeyDigest(
    std::string_view digest) const {
  const std::string* name = FindIn(this->organisation_by_digest, digest);
  return name == nullptr ? nullptr : this->FindOrganisation(*name);
}

bool Configuration::IsZoneOut(const std::string& zone) const {
  return this->zones.contains(zone);
}

bool Configuration::IsUpstreamOut(const std::string& upstream) const {
  return this->upstreams.contains(upstream);
}

}  // namespace kingcupstair::config
