#ifndef COMPONENTS_SITE_SITE_INTERFACE_H_
#define COMPONENTS_SITE_SITE_INTERFACE_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "components/dialect/dialect.h"
#include "components/guard/announcement.h"
#include "components/http/message.h"
#include "components/site/rollout_status.h"
#include "components/site/site_bounds.h"
#include "components/store/protocol.h"
#include "components/store/records_view.h"

namespace kingcupstair::site {

/// Configuration source for text published with the fleet's own tool, stored as
/// a head and its chunks.
struct PublishedConfiguration {
  bool operator==(const PublishedConfiguration&) const = default;
};

/// Operator records as configuration rules.
struct TranslatedRules {
  std::string text;
  /// What the rules don't hold as the records have it: values that were
  /// replaced, and entries that were left out. One sentence each.
  std::vector<std::string> adjustments;

  bool operator==(const TranslatedRules&) const = default;
};

/// Configuration source for operator records in a form of the site. All records
/// below `prefix` together are the configuration. Its revision consists of the
/// operators' version and the store's era and revision.
struct OperatorRecords {
  std::string prefix;
  /// Translates the records into configuration rules.
  std::function<absl::StatusOr<TranslatedRules>(
      const std::vector<store::KeyedEntry>&)>
      to_rules;
  /// Returns the version that the operators gave the records, or 0.
  store::ContentVersion content_version;
};

using ConfigurationSource =
    std::variant<PublishedConfiguration, OperatorRecords>;

/// Message of an upstream that it has left permanently.
struct Departure {
  std::string id;

  bool operator==(const Departure&) const = default;
};

/// Message in an upstream's call to its host.
using UpstreamCall = std::variant<guard::Announcement, Departure>;

/// Interface of the fleet to a site's callers, upstreams, store and operators.
/// A site with protocols of its own supplies its own value.
struct SiteInterface {
  HeaderNames header_names;
  store::Protocol store = store::FleetProtocol();
  ConfigurationSource configuration;
  RolloutStatusFormat rollout_status;
  /// Parses the bounds that the site sets, in a form of its own. Empty for a
  /// site that sets none.
  std::function<absl::StatusOr<SiteBounds>(const std::string&)> read_bounds;
  /// Parses an upstream's call. Returns nullopt if the request is not such a
  /// call.
  std::function<std::optional<absl::StatusOr<UpstreamCall>>(
      const http::Request&)>
      read_upstream_call;
  /// Request target of the readiness check, which reports whether the host
  /// accepts callers.
  std::string readiness_target = "/ready";
  /// If true, hosts find each other by leased keys in the store, otherwise by
  /// the configured seeds.
  bool hosts_in_store = false;
  /// If true, a host that has lost contact with the store and its peers
  /// continues to serve with its last known state.
  bool serves_when_isolated = false;
};

/// Returns the fleet's own interface, used where a site defines no other.
SiteInterface DefaultInterface();

}  // namespace kingcupstair::site

#endif  // COMPONENTS_SITE_SITE_INTERFACE_H_
