#ifndef COMPONENTS_HTTP_SERVER_STATE_H_
#define COMPONENTS_HTTP_SERVER_STATE_H_

#include <atomic>

#include "components/http/server.h"

namespace kingcupstair::http {

/// What the connections of a server share with it.
struct ServerState {
  Server::Options options;
  CancellableHandler handler;
  /// Each connection ends after its requests in progress.
  std::atomic<bool> stopping{false};
  /// No new connections are accepted, and idle ones end.
  std::atomic<bool> accept_stopped{false};
  /// Requests received whose response is not yet fully sent.
  std::atomic<int> in_flight{0};
  std::atomic<int> open_connections{0};

  ServerLimits Limits() const {
    return this->options.limits ? this->options.limits() : ServerLimits{};
  }
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_SERVER_STATE_H_
