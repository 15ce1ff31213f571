#ifndef TESTS_HTTP_LISTENER_H_
#define TESTS_HTTP_LISTENER_H_

#include "components/base/endpoint.h"

namespace kingcupstair {

/// A listening socket on a free loopback port.
struct Listener {
  int socket = -1;
  Endpoint endpoint;
};

/// Throws std::runtime_error if no port can be bound.
Listener ListenOnLoopback(int backlog);

}  // namespace kingcupstair

#endif  // TESTS_HTTP_LISTENER_H_
