#include "components/http/beast_convert.h"

#include "absl/strings/match.h"

namespace kingcupstair::http {
namespace {

// RFC 9110 section 7.6.1: fields that apply to a single connection. Also
// Content-Length, which Beast sets from the body.
bool IsHopByHop(absl::string_view name) {
  constexpr absl::string_view kNames[] = {
      "connection", "keep-alive", "transfer-encoding", "upgrade",
      "te",         "trailer",    "proxy-connection",  "content-length"};
  for (const absl::string_view candidate : kNames) {
    if (absl::EqualsIgnoreCase(name, candidate)) {
      return true;
    }
  }
  return false;
}

}  // namespace

Headers FromBeast(const boost::beast::http::fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    const std::string name(field.name_string());
    if (!IsHopByHop(name)) {
      headers.push_back({.name = name, .value = std::string(field.value())});
    }
  }
  return headers;
}

void CopyInto(const Headers& headers, boost::beast::http::fields& fields) {
  for (const Header& header : headers) {
    if (!IsHopByHop(header.name)) {
      fields.insert(header.name, header.value);
    }
  }
}

boost::asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

}  // namespace kingcupstair::http
