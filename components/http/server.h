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

/// Answers one request; runs in a fiber of its own.
using Handler = std::function<Response(const Request&)>;

/// The same, told when the client goes away before its answer.
using CancellableHandler =
    std::function<Response(const Request&, const CancellationPtr&)>;

/// What clients may send, and how long they may take over it.
struct ServerLimits {
  int64_t header_bytes = 65'536;
  int64_t body_bytes = 8 * 1024 * 1024;
  /// For a whole request to come in on an idle connection.
  Duration idle_timeout{std::chrono::seconds(60)};

  bool operator==(const ServerLimits&) const = default;
};

/// An HTTP/1.1 server with keep-alive and pipelining on the fibers of a worker
/// pool. Answers go out in the order of their requests.
class Server {
 public:
  struct Options {
    Endpoint listen;
    /// Read anew for each request; the defaults apply when empty.
    std::function<ServerLimits()> limits;
  };

  Server(fibers::WorkerPool& workers, Options options, Handler handler);
  Server(fibers::WorkerPool& workers,
         Options options,
         CancellableHandler handler);
  ~Server();

  /// Binds the port on every worker thread and starts to accept.
  absl::Status Start();

  /// From now on each connection ends after the request it carries; new ones
  /// are still accepted.
  void BeginShutdown();

  /// Takes what waits in the accept queue and then accepts nothing more.
  void StopAccepting();

  /// Accept loops that still run.
  int Accepting() const;

  /// Requests received and not yet answered in full.
  int InFlight() const;

 private:
  struct Shared;
  class Conversation;

  fibers::WorkerPool& workers;
  std::shared_ptr<Shared> shared;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_SERVER_H_
