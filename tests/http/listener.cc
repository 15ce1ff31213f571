#include "tests/http/listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>

namespace kingcupstair {

Listener ListenOnLoopback(int backlog) {
  Listener listener{.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(listener.socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener.socket, backlog) != 0) {
    throw std::runtime_error("can't bind or listen on a loopback port");
  }
  getsockname(listener.socket, reinterpret_cast<sockaddr*>(&address), &size);
  listener.endpoint = {.address = "127.0.0.1", .port = ntohs(address.sin_port)};
  return listener;
}

}  // namespace kingcupstair
