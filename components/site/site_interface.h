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
#include "components/store/protocol.h"

namespace kingcupstair::site {

/// The fleet's own tool publishes the configuration: a head and its chunks.
struct PublishedConfiguration {
  bool operator==(const PublishedConfiguration&) const = default;
};

/// Operators write records of another form into the store. All records below a
/// prefix together make up the configuration; the store's revision is that of
/// the configuration.
struct OperatorRecords {
  std::string prefix;
  /// The operators' rules that say what the records say.
  std::function<absl::StatusOr<std::string>(
      const std::vector<store::KeyedEntry>&)>
      to_rules;
};

using ConfigurationSource =
    std::variant<PublishedConfiguration, OperatorRecords>;

/// An upstream says that it has left for good.
struct Departure {
  std::string id;

  bool operator==(const Departure&) const = default;
};

/// What an upstream's call to its host says.
using UpstreamCall = std::variant<guard::Announcement, Departure>;

/// How the fleet talks with what surrounds it: callers, upstreams, the store
/// and operators. A site with forms of its own brings another value.
struct SiteInterface {
  Dialect dialect;
  store::Protocol store = store::OwnProtocol();
  ConfigurationSource configuration;
  /// Reads a call of an upstream; nothing when the request is no such call.
  std::function<std::optional<absl::StatusOr<UpstreamCall>>(
      const http::Request&)>
      read_upstream_call;
  /// Where it is asked whether the host takes callers.
  std::string readiness_target = "/ready";
  /// Hosts find each other by leased keys in the store; otherwise by seeds.
  bool hosts_in_store = false;
  /// A host that hears nobody goes on serving what it knows.
  bool serves_when_isolated = false;
};

/// The fleet's own interface.
SiteInterface OwnInterface();

}  // namespace kingcupstair::site

#endif  // COMPONENTS_SITE_SITE_INTERFACE_H_
