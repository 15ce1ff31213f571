#include "components/base/endpoint.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace kingcupstair {
namespace {

constexpr uint32_t kMaxPort = 65535;

bool IsNumericAddress(const std::string& address) {
  in6_addr buffer{};
  return inet_pton(AF_INET, address.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, address.c_str(), &buffer) == 1;
}

std::string StripBrackets(std::string_view address) {
  if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  return std::string(address);
}

}  // namespace

absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError("expected ADDRESS:PORT");
  }
  const std::string address = StripBrackets(text.substr(0, colon));
  if (!IsNumericAddress(address)) {
    return absl::InvalidArgumentError("expected an IP address by number");
  }
  uint32_t port = 0;
  const std::string port_text(text.substr(colon + 1));
  if (!absl::SimpleAtoi(port_text, &port) || port == 0 || port > kMaxPort) {
    return absl::InvalidArgumentError("expected a port from 1 to 65535");
  }
  return Endpoint{.address = address, .port = static_cast<uint16_t>(port)};
}

std::string ToText(const Endpoint& endpoint) {
  if (endpoint.address.find(':') != std::string::npos) {
    return absl::StrCat("[", endpoint.address, "]:", endpoint.port);
  }
  return absl::StrCat(endpoint.address, ":", endpoint.port);
}

}  // namespace kingcupstair
