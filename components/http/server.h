#ifndef COMPONENTS_HTTP_SERVER_H_
#define COMPONENTS_HTTP_SERVER_H_

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "components/base/cancellation.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/fibers/worker_pool.h"
#include "components/http/message.h"

namespace kingcupstair::http {

/// Produces the response to one request. Runs in a fiber of its own.
using Handler = std::function<Response(const Request&)>;

/// Handler whose cancellation is triggered if the client disconnects before the
/// response is sent.
using CancellableHandler =
    std::function<Response(const Request&, const CancellationPtr&)>;

/// Limits on the size of requests and on the time to receive them.
struct ServerLimits {
  int64_t header_bytes = 65'536;
  int64_t body_bytes = 8 * 1024 * 1024;
  /// Time within which an idle connection has to deliver a complete request.
  Duration idle_timeout{std::chrono::seconds(60)};

  bool operator==(const ServerLimits&) const = default;
};

/// An HTTP/1.1 server with keep-alive and pipelining on the fibers of a worker
/// pool. Responses are sent in the order of their requests.
class Server {
 public:
  struct Options {
    Endpoint listen;
    /// Called for each request; if empty, the defaults apply.
    std::function<ServerLimits()> limits;
    /// Counts requests in progress in the memory for messages, beside their
    /// bytes. For servers whose clients are not controlled.
    bool counts_requests = false;
    /// Open connections; 0 for no limit. Beyond it, a new connection closes the
    /// one that has been without a request in progress for the longest time, or
    /// is closed if there is none.
    int max_connections = 0;
  };

  Server(fibers::WorkerPool& workers, Options options, Handler handler);
  Server(fibers::WorkerPool& workers,
         Options options,
         CancellableHandler handler);
  ~Server();

  /// Binds the port on every worker thread and starts to accept connections.
  /// Returns kUnavailable if the port can't be bound.
  absl::Status Start();

  /// From now on, closes each connection after its requests in progress, and an
  /// idle connection after its next request. New connections are still
  /// accepted.
  void BeginShutdown();

  /// Accepts the connections that are already in the accept queue, then closes
  /// the listening sockets.
  void StopAccepting();

  /// Returns the number of accept loops that still run.
  int ActiveAcceptLoops() const;

  /// Returns the number of requests received whose response is not yet fully
  /// sent.
  int InFlight() const;

 private:
  struct Shared;

  fibers::WorkerPool& workers;
  std::shared_ptr<Shared> shared;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_SERVER_H_
