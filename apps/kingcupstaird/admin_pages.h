#ifndef APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_
#define APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_

#include <atomic>
#include <string>

#include "components/control/fleet.h"
#include "components/guard/guard.h"
#include "components/http/message.h"
#include "components/site/site_interface.h"

namespace kingcupstair {

/// The pages of the admin port: /status, /metrics, /events and /config for
/// operators' tools, whether this host takes callers, and the calls of its own
/// upstreams.
class AdminPages {
 public:
  AdminPages(control::Fleet& fleet,
             guard::Guard& guard,
             const site::SiteInterface& interface,
             const std::atomic<bool>& leaving);

  http::Response Handle(const http::Request& request);

 private:
  http::Response TakeUpstreamCall(
      const absl::StatusOr<site::UpstreamCall>& call);
  http::Response Readiness() const;
  std::string EventLines() const;
  std::string StatusText() const;

  control::Fleet& fleet;
  guard::Guard& guard;
  const site::SiteInterface& interface;
  const std::atomic<bool>& leaving;
};

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_
