#ifndef COMPONENTS_BASE_ENDPOINT_H_
#define COMPONENTS_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace kingcupstair {

/// A numeric IP address and a port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are an error.
absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text);

/// Returns the endpoint in the form that ParseEndpoint reads.
std::string ToText(const Endpoint& endpoint);

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_ENDPOINT_H_
