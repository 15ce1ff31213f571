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

/// A stand-in for the network between two processes: passes bytes on until it
/// is told not to. All connections run on one thread.
///
///   POST /faults  {"drop_to_server":bool,"drop_to_client":bool,
///                  "silence_open":bool,"reset_open":bool,"refuse":bool,
///                  "delay_ms":number}
///
/// `silence_open` makes the connections open now go silent for good, while new
/// ones work; `reset_open` resets them. `delay_ms` holds all bytes back.
class Relay {
 public:
  struct Options {
    Endpoint listen;
    Endpoint server;
  };

  explicit Relay(Options options);

  /// Accepts and relays until the process ends; runs in a fiber.
  void Run();

  http::Response HandleControl(const http::Request& request);

 private:
  struct Pair;

  struct Faults {
    bool drop_to_server = false;
    bool drop_to_client = false;
    bool refuse = false;
    Duration delay{};
  };

  void Serve(std::shared_ptr<Pair> pair);
  void Pump(std::shared_ptr<Pair> pair, bool to_server);
  void SilenceOpen();
  void ResetOpen();

  Options options;
  Faults faults;
  std::vector<std::weak_ptr<Pair>> pairs;
};

}  // namespace kingcupstair

#endif  // APPS_RELAY_STANDIN_RELAY_H_
