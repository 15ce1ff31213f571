#include "tests/http/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace kingcupstair {
namespace {

constexpr useconds_t kResetDelayMicros = 20'000;

}  // namespace

RawServer::RawServer(std::vector<Reply> replies) : replies(std::move(replies)) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(this->listener, 8) != 0) {
    throw std::runtime_error(
        "RawServer: can't bind or listen on a loopback port");
  }
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
  this->endpoint = {.address = "127.0.0.1", .port = ntohs(address.sin_port)};
  this->thread = std::thread([this] { this->Run(); });
}

RawServer::~RawServer() {
  shutdown(this->listener, SHUT_RDWR);
  this->thread.join();
  close(this->listener);
}

void RawServer::Run() {
  std::vector<int> held_open;
  for (const Reply& reply : this->replies) {
    const int connection = accept(this->listener, nullptr, nullptr);
    if (connection < 0) {
      break;
    }
    char buffer[4096];
    const bool received = recv(connection, buffer, sizeof(buffer), 0) > 0;
    if (received) {
      send(connection, reply.text.data(), reply.text.size(), MSG_NOSIGNAL);
    }
    if (reply.reset) {
      usleep(kResetDelayMicros);
      const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof(reset_on_close));
    }
    if (reply.hold_open) {
      held_open.push_back(connection);
    } else {
      close(connection);
    }
  }
  for (const int connection : held_open) {
    char buffer[64];
    recv(connection, buffer, sizeof(buffer), 0);
    close(connection);
  }
}

}  // namespace kingcupstair
