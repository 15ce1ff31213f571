#ifndef APPS_RELAY_STANDIN_RELAY_H_
#define APPS_RELAY_STANDIN_RELAY_H_

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair {

/// A stand-in for the network between two processes: a TCP relay that forwards
/// bytes unless a fault is set. All connections run on one thread.
///
///   POST /faults  {"drop_to_server":bool,"drop_to_client":bool,
///                  "silence_open":bool,"reset_open":bool,"refuse":bool,
///                  "delay_ms":number}
///
/// `drop_to_server` and `drop_to_client` drop the bytes of one direction; a
/// connection that has dropped bytes drops all further bytes of both
/// directions. `silence_open` does the same to the connections that are open at
/// the time of the call, while later connections work. `reset_open` resets the
/// connections that are open at that time. `refuse` closes new connections.
/// `delay_ms` delays all bytes.
class Relay {
 public:
  struct Options {
    Endpoint listen;
    Endpoint server;
  };

  explicit Relay(Options options);

  /// Accepts and relays until the process ends; runs in a fiber.
  void Run();

  /// Handles POST /faults, which replaces the faults that were set before.
  http::Response HandleControl(const http::Request& request);

 private:
  /// A client's socket and the socket to the server that belongs to it.
  struct Connection;

  struct Faults {
    bool drop_to_server = false;
    bool drop_to_client = false;
    bool refuse = false;
    Duration delay{};
  };

  void Serve(std::shared_ptr<Connection> connection);
  /// Copies bytes in one direction until either side closes.
  void Forward(std::shared_ptr<Connection> connection, bool to_server);
  void SilenceOpen();
  void ResetOpen();

  Options options;
  Faults faults;
  std::vector<std::weak_ptr<Connection>> connections;
};

}  // namespace kingcupstair

#endif  // APPS_RELAY_STANDIN_RELAY_H_
