#include "components/rpc/network.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include "components/base/error.h"

namespace kingcupstair::rpc {
namespace {

absl::Status UnavailableError(const char* step,
                              const Endpoint& endpoint,
                              const kj::Exception& error) {
  return ErrorAt(absl::StatusCode::kUnavailable,
                 {.step = step, .peer = ToText(endpoint)},
                 error.getDescription().cStr());
}

}  // namespace

absl::StatusOr<kj::Own<kj::NetworkAddress>> ToNetworkAddress(
    EventLoop& loop,
    const Endpoint& endpoint) {
  auto& network = loop.io().provider->getNetwork();
  sockaddr_in v4{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    return network.getSockaddr(&v4, sizeof(v4));
  }
  sockaddr_in6 v6{};
  if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(endpoint.port);
    return network.getSockaddr(&v6, sizeof(v6));
  }
  return ErrorAt(absl::StatusCode::kInvalidArgument,
                 {.step = "address", .peer = ToText(endpoint)},
                 "the address is not a numeric IPv4 or IPv6 address");
}

absl::StatusOr<kj::Own<kj::ConnectionReceiver>> ListenOn(
    EventLoop& loop,
    const Endpoint& endpoint) {
  auto address = ToNetworkAddress(loop, endpoint);
  if (!address.ok()) {
    return address.status();
  }
  try {
    return (*address)->listen();
  } catch (const kj::Exception& error) {
    return UnavailableError("listen", endpoint, error);
  }
}

}  // namespace kingcupstair::rpc
