#ifndef TESTS_HTTP_RAW_SERVER_H_
#define TESTS_HTTP_RAW_SERVER_H_

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "components/base/endpoint.h"

namespace kingcupstair {

/// TCP server with scripted replies. Accepts one connection after the other,
/// sends the next reply once the first bytes have arrived, whatever their
/// content, and then closes the connection or holds it open silently.
class RawServer {
 public:
  struct Reply {
    std::string text;
    bool hold_open = false;
    /// Closes the connection with a reset, after a delay in which the client
    /// can read the text.
    bool reset = false;
    /// Sent once a further request has arrived on the connection, unless empty.
    std::string next = {};
    /// Parts in which the text is sent, with a pause after each.
    int parts = 1;
    std::chrono::milliseconds pause{};
  };

  explicit RawServer(std::vector<Reply> replies);
  ~RawServer();

  Endpoint Address() const { return this->endpoint; }

 private:
  static void SendText(int connection, const Reply& reply);
  void Run();

  std::vector<Reply> replies;
  int listener = -1;
  Endpoint endpoint;
  std::thread thread;
};

}  // namespace kingcupstair

#endif  // TESTS_HTTP_RAW_SERVER_H_
