#ifndef COMPONENTS_HTTP_CLIENT_H_
#define COMPONENTS_HTTP_CLIENT_H_

#include <optional>

#include "absl/status/status.h"
#include "components/base/cancellation.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair::http {

/// How far an exchange got before it failed.
enum class Stage {
  kConnect,  ///< No byte of the request was sent.
  kSend,     ///< Some of the request may have reached the server.
  kReceive,  ///< The whole request was sent; the answer is missing or cut.
};

/// A failed exchange.
struct Failure {
  Stage stage = Stage::kConnect;
  bool timed_out = false;
  bool cancelled = false;
  absl::Status status;
};

/// What an exchange came to: `failure.status` is OK when `response` is whole.
struct Result {
  Response response;
  Failure failure;

  bool ok() const { return this->failure.status.ok(); }
};

/// One exchange, from a fiber of a worker pool.
struct Call {
  Endpoint server;
  Request request;
  /// Bound on the whole exchange.
  Duration timeout{std::chrono::seconds(5)};
  /// Bound on opening a connection.
  Duration connect_timeout{std::chrono::seconds(1)};
  /// A kept connection may be used. Leave it off where a second run would do
  /// harm: a kept connection can die unseen between two requests.
  bool reuse_connection = true;
  /// A kept connection may have been idle for this long, if not for longer by
  /// the server's own word.
  Duration longest_idle{std::chrono::seconds(4)};
  /// Ends the exchange early and closes its connection; may be empty.
  CancellationPtr cancellation;
  /// A header that the answer to this request bears with this value, if it
  /// bears it at all. An answer with another value belongs to an earlier
  /// request and is passed over.
  std::optional<Header> echoed;
};

/// Sends a request and reads the whole answer. A body that ends early is a
/// failure, never a short answer; one without a length ends where the server
/// closes the connection in good order.
Result Exchange(const Call& call);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_CLIENT_H_
