#ifndef APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_
#define APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_

#include <atomic>
#include <string>

#include "components/control/fleet.h"
#include "components/guard/guard.h"
#include "components/http/message.h"

namespace kingcupstair {

/// The pages of the admin port: /status, /metrics, /events and /config for
/// operators' tools, /announce for the upstreams of this host.
class AdminPages {
 public:
  AdminPages(control::Fleet& fleet,
             guard::Guard& guard,
             const std::atomic<bool>& leaving);

  http::Response Handle(const http::Request& request);

 private:
  http::Response TakeAnnouncement(const http::Request& request);
  std::string EventLines() const;
  std::string StatusText() const;

  control::Fleet& fleet;
  guard::Guard& guard;
  const std::atomic<bool>& leaving;
};

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRD_ADMIN_PAGES_H_
