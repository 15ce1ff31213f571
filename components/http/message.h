#ifndef COMPONENTS_HTTP_MESSAGE_H_
#define COMPONENTS_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// The first value of `name` without regard to case; empty when absent.
std::string_view Find(const Headers& headers, std::string_view name);

/// `headers` without those named in `names`, without regard to case.
Headers Without(const Headers& headers,
                const std::vector<std::string_view>& names);

/// A whole HTTP request.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;

  bool operator==(const Request&) const = default;
};

/// A server that is given this status closes the connection without an answer.
inline constexpr int kCloseWithoutAnswer = 0;

/// A whole HTTP response.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;

  bool operator==(const Response&) const = default;
};

/// A response whose body is JSON text.
Response JsonResponse(int status, std::string body);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_MESSAGE_H_
