#include "tests/http/endless_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "tests/http/listener.h"

namespace kingcupstair {
namespace {

constexpr int kBacklog = 64;
constexpr size_t kSendBytes = size_t{64} * 1024;

bool SendAll(int connection, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t written =
        send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    sent += static_cast<size_t>(written);
  }
  return true;
}

}  // namespace

EndlessServer::EndlessServer(Options options) : options(std::move(options)) {
  const Listener listening = ListenOnLoopback(kBacklog);
  this->listener = listening.socket;
  this->endpoint = listening.endpoint;
  this->acceptor = std::thread([this] { this->Accept(); });
}

EndlessServer::~EndlessServer() {
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  for (std::thread& sender : this->senders) {
    sender.join();
  }
  close(this->listener);
}

void EndlessServer::Accept() {
  while (true) {
    const int connection = accept(this->listener, nullptr, nullptr);
    if (connection < 0) {
      return;
    }
    this->senders.emplace_back([this, connection] { this->Send(connection); });
  }
}

void EndlessServer::Send(int connection) const {
  std::string piece = this->options.repeat;
  const bool fast = this->options.pause == std::chrono::milliseconds{};
  while (fast && piece.size() < kSendBytes) {
    piece += this->options.repeat;
  }
  char buffer[4096];
  if (recv(connection, buffer, sizeof(buffer), 0) > 0 &&
      SendAll(connection, this->options.begin)) {
    while (SendAll(connection, piece)) {
      std::this_thread::sleep_for(this->options.pause);
    }
  }
  close(connection);
}

}  // namespace kingcupstair
