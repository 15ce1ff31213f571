#ifndef TESTS_HTTP_ENDLESS_SERVER_H_
#define TESTS_HTTP_ENDLESS_SERVER_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "components/base/endpoint.h"

namespace kingcupstair {

/// TCP server that answers each connection with bytes that don't end until the
/// client closes the connection.
class EndlessServer {
 public:
  struct Options {
    /// Sent once.
    std::string begin;
    /// Sent again and again.
    std::string repeat;
    /// Pause between two pieces.
    std::chrono::milliseconds pause{};
  };

  explicit EndlessServer(Options options);
  /// Waits until all clients have closed their connections.
  ~EndlessServer();

  Endpoint Address() const { return this->endpoint; }

 private:
  void Accept();
  void Send(int connection) const;

  Options options;
  int listener = -1;
  Endpoint endpoint;
  std::vector<std::thread> senders;
  std::thread acceptor;
};

}  // namespace kingcupstair

#endif  // TESTS_HTTP_ENDLESS_SERVER_H_
