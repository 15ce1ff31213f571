#ifndef COMPONENTS_HTTP_CLIENT_H_
#define COMPONENTS_HTTP_CLIENT_H_

#include <optional>

#include "absl/status/status.h"
#include "components/base/cancellation.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair::http {

/// Step in which an exchange failed.
enum class Stage {
  kConnect,  ///< No byte of the request was sent.
  kSend,     ///< Part of the request may have reached the server.
  kReceive,  ///< The whole request was sent; no complete response came.
};

/// Reason why an exchange failed.
struct Failure {
  Stage stage = Stage::kConnect;
  bool timed_out = false;
  bool cancelled = false;
  absl::Status status;
};

/// Result of an exchange. `failure.status` is OK if `response` is complete.
struct Result {
  Response response;
  Failure failure;

  bool ok() const { return this->failure.status.ok(); }
};

/// Parameters of one exchange, which runs in a fiber of a worker pool.
struct Call {
  Endpoint server;
  Request request;
  /// Timeout of the whole exchange, or until the response begins if
  /// `transfer_timeout` is set.
  Duration timeout{std::chrono::seconds(5)};
  /// If not zero, a response that has begun in time may take this long while it
  /// keeps coming.
  Duration transfer_timeout{};
  /// Timeout of opening a connection.
  Duration connect_timeout{std::chrono::seconds(1)};
  /// Allows an idle keep-alive connection to be reused. Set to false where a
  /// second run of the request would do harm: the server can close an idle
  /// connection unnoticed between two requests.
  bool reuse_connection = true;
  /// Keeps the connection for later calls. Set to false for a request that the
  /// server doesn't name in its response: a late copy of that would be taken
  /// for the response to a later request.
  bool keep_connection = true;
  /// Sends keep-alive probes over a new connection, so that a connection that
  /// has gone silent is found long before the timeout of a long exchange.
  bool detect_silence = false;
  /// Counts the response in the memory of messages of callers. Set to false for
  /// responses that must not wait for callers.
  bool counts_as_message = true;
  /// Longest time that a reused connection may have been idle. A shorter
  /// timeout in the server's Keep-Alive header takes precedence.
  Duration max_idle_time{std::chrono::seconds(4)};
  /// Cancels the exchange and closes its connection; may be null. A request
  /// that is cancelled before its connection is open is not sent.
  CancellationPtr cancellation;
  /// A cancellation has no effect once the response has begun.
  bool finish_begun_response = false;
  /// Keeps the request from being sent, and has no effect afterwards. For
  /// requests that must not be aborted once the server may run them. May be
  /// null.
  CancellationPtr cancellation_before_sending;
  /// Header field that the server may echo in its response. A response with
  /// another value of this field belongs to an earlier request and is
  /// discarded. So is a response without the field on a connection on which an
  /// earlier response had it.
  std::optional<Header> expected_echo;
};

/// Sends a request and reads the complete response. A truncated body is a
/// failure. A body without a length ends where the server closes the connection
/// without a reset. Interim responses (1xx) are skipped, and a response without
/// end is a failure.
Result Exchange(const Call& call);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_CLIENT_H_
