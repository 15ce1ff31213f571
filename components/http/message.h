#ifndef COMPONENTS_HTTP_MESSAGE_H_
#define COMPONENTS_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "components/http/body.h"

namespace kingcupstair::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// Returns the first value of the field `name`, compared case-insensitively, or
/// an empty string if the field is absent.
std::string_view FindHeader(const Headers& headers, std::string_view name);

/// Returns `headers` without the fields in `names`, compared
/// case-insensitively.
Headers WithoutHeaders(const Headers& headers,
                       const std::vector<std::string_view>& names);

/// A complete HTTP request.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  Body body;
  /// Of a received request: the number of earlier requests of its connection
  /// that had no response when it was read. Its response waits for theirs.
  size_t requests_ahead = 0;

  bool operator==(const Request&) const = default;
};

/// Returns true for the statuses of final responses, 200 to 599. A response
/// with another status is broken (RFC 9110 section 15), except for interim ones
/// before the final one.
constexpr bool IsFinalStatus(int status) {
  constexpr int kFirstFinal = 200;
  constexpr int kFirstInvalid = 600;
  return status >= kFirstFinal && status < kFirstInvalid;
}

/// Response status with which a handler makes the server close the connection
/// without sending a response.
inline constexpr int kCloseWithoutResponse = 0;

/// A complete HTTP response.
struct Response {
  int status = 200;
  Headers headers;
  Body body;

  bool operator==(const Response&) const = default;
};

/// Returns a response with `body` as JSON text and the matching Content-Type.
Response JsonResponse(int status, std::string body);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_MESSAGE_H_
