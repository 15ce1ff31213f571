#ifndef COMPONENTS_HTTP_SERVER_H_
#define COMPONENTS_HTTP_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "components/base/endpoint.h"
#include "components/fibers/worker_pool.h"
#include "components/http/message.h"

namespace kingcupstair::http {

/// Answers one request; runs in a fiber of its own connection.
using Handler = std::function<Response(const Request&)>;

/// An HTTP/1.1 server with keep-alive on the fibers of a worker pool.
class Server {
 public:
  struct Options {
    Endpoint listen;
    size_t max_body_bytes = 8 * 1024 * 1024;
  };

  Server(fibers::WorkerPool& workers, Options options, Handler handler);
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

  fibers::WorkerPool& workers;
  std::shared_ptr<Shared> shared;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_SERVER_H_
