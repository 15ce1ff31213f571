#ifndef TESTS_HTTP_RAW_SERVER_H_
#define TESTS_HTTP_RAW_SERVER_H_

#include <string>
#include <thread>
#include <vector>

#include "components/base/endpoint.h"

namespace kingcupstair {

/// Takes one connection after the other and answers the first bytes on each
/// with the next text, whatever was asked; then closes the connection, or holds
/// it open without a word.
class RawServer {
 public:
  struct Reply {
    std::string text;
    bool hold_open = false;
    /// Ends the connection with a reset, after a moment for the text to be
    /// read.
    bool reset = false;
  };

  explicit RawServer(std::vector<Reply> replies);
  ~RawServer();

  Endpoint Address() const { return this->endpoint; }

 private:
  void Run();

  std::vector<Reply> replies;
  int listener = -1;
  Endpoint endpoint;
  std::thread thread;
};

}  // namespace kingcupstair

#endif  // TESTS_HTTP_RAW_SERVER_H_
