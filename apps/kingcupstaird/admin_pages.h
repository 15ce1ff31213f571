#ifndef APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_
#define APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_

#include <atomic>
#include <string>

#include "components/control/fleet.h"
#include "components/guard/guard.h"
#include "components/http/message.h"
#include "components/ingress/fleet_board.h"
#include "components/site/site_interface.h"

namespace kingcupstair {

/// HTTP handler of the admin port. Serves /status, /metrics, /events, /config
/// and /place to operators' tools, the readiness check, and the calls by which
/// the upstreams of this host announce themselves or leave.
class AdminPages {
 public:
  AdminPages(control::Fleet& fleet,
             guard::Guard& guard,
             const ingress::UpstreamRegistry& registry,
             const site::SiteInterface& interface,
             const std::atomic<bool>& leaving);

  /// Returns the page that `request` names, or a 404 response if no such page
  /// exists.
  http::Response Handle(const http::Request& request);

 private:
  http::Response HandleUpstreamCall(
      const absl::StatusOr<site::UpstreamCall>& call);
  /// Returns 200 if this host has a configuration and is not leaving, else 503.
  http::Response Readiness() const;
  /// Returns the recorded events, one JSON object a line.
  std::string EventsJsonLines() const;
  std::string StatusJson() const;
  /// Returns true if this host refuses requests since it is isolated.
  bool IsIsolated() const;
  /// Returns what would become of the request that the query describes.
  http::Response Place(const std::string& query) const;

  control::Fleet& fleet;
  guard::Guard& guard;
  const ingress::UpstreamRegistry& registry;
  const site::SiteInterface& interface;
  const std::atomic<bool>& leaving;
};

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_
