#include "tests/http/raw_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include "tests/http/listener.h"

namespace kingcupstair {
namespace {

constexpr int kBacklog = 8;
constexpr useconds_t kResetDelayMicros = 20'000;

}  // namespace

RawServer::RawServer(std::vector<Reply> replies) : replies(std::move(replies)) {
  const Listener listening = ListenOnLoopback(kBacklog);
  this->listener = listening.socket;
  this->endpoint = listening.endpoint;
  this->thread = std::thread([this] { this->Run(); });
}

RawServer::~RawServer() {
  shutdown(this->listener, SHUT_RDWR);
  this->thread.join();
  close(this->listener);
}

void RawServer::SendText(int connection, const Reply& reply) {
  const size_t parts = static_cast<size_t>(reply.parts);
  const size_t part_bytes = (reply.text.size() + parts - 1) / parts;
  for (size_t sent = 0; sent < reply.text.size(); sent += part_bytes) {
    const std::string part = reply.text.substr(sent, part_bytes);
    send(connection, part.data(), part.size(), MSG_NOSIGNAL);
    // The client may use a connection again that is closed a moment later.
    if (reply.parts > 1) {
      std::this_thread::sleep_for(reply.pause);
    }
  }
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
      SendText(connection, reply);
    }
    if (!reply.next.empty() &&
        recv(connection, buffer, sizeof(buffer), 0) > 0) {
      send(connection, reply.next.data(), reply.next.size(), MSG_NOSIGNAL);
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
