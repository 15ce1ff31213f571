#include "review/standins-2/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr size_t kReceiveBytes = size_t{64} * 1024;
constexpr int kBacklog = 512;

const Clock::time_point kStart = Clock::now();

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string FindIn(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

std::string Trimmed(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return "";
  }
  return std::string(
      text.substr(begin, text.find_last_not_of(" \t") - begin + 1));
}

std::string Word(const std::string& line, int number) {
  size_t begin = 0;
  for (int i = 0; i < number; ++i) {
    begin = line.find(' ', begin);
    if (begin == std::string::npos) {
      return "";
    }
    ++begin;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

Message ParseHead(std::string_view head) {
  Message message;
  size_t begin = 0;
  bool first = true;
  while (begin < head.size()) {
    const size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string_view line = head.substr(begin, end - begin);
    if (first) {
      message.start = std::string(line);
      first = false;
    } else if (const size_t colon = line.find(':');
               colon != std::string_view::npos) {
      message.headers.emplace_back(Trimmed(line.substr(0, colon)),
                                   Trimmed(line.substr(colon + 1)));
    }
    begin = end + 2;
  }
  return message;
}

std::string Format(const std::string& start,
                   const Headers& headers,
                   std::string_view body) {
  std::string text = start + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

}  // namespace

int64_t SinceStart() {
  return std::chrono::duration_cast<Millis>(Clock::now() - kStart).count();
}

void Pause(Millis time) {
  std::this_thread::sleep_for(time);
}

Socket::Socket(int fd) : fd(fd) {
  static std::atomic<uint64_t> last{0};
  this->number = ++last;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    this->Close();
    this->fd = std::exchange(other.fd, -1);
    this->number = other.number;
  }
  return *this;
}

void Socket::Close() {
  if (this->fd >= 0) {
    close(this->fd);
  }
  this->fd = -1;
}

void Socket::Reset() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  this->Close();
}

Socket Listen(uint16_t port) {
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  if (bind(listener.descriptor(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener.descriptor(), kBacklog) != 0) {
    listener.Close();
  }
  return listener;
}

uint16_t PortOf(const Socket& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address),
              &size);
  return ntohs(address.sin_port);
}

// Below the ports that the system gives to outgoing connections, so that none
// of these takes a port before its listener does.
std::vector<uint16_t> FreePorts(size_t count) {
  constexpr uint16_t kFirst = 20'000;
  constexpr uint16_t kRange = 10'000;
  constexpr int kStep = 37;
  std::vector<uint16_t> ports;
  for (int i = 0; ports.size() < count && i < kRange; ++i) {
    const auto port =
        static_cast<uint16_t>(kFirst + (getpid() * kStep + i) % kRange);
    if (Listen(port).IsOpen()) {
      ports.push_back(port);
    }
  }
  return ports;
}

Socket Connect(uint16_t port) {
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(connection.descriptor(),
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    connection.Close();
    return connection;
  }
  const int on = 1;
  setsockopt(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
  return connection;
}

bool SendAll(const Socket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

std::string Message::Find(std::string_view name) const {
  return FindIn(this->headers, name);
}

std::string Message::Method() const {
  return Word(this->start, 0);
}

std::string Message::Target() const {
  return Word(this->start, 1);
}

int Message::Status() const {
  return std::atoi(Word(this->start, 1).c_str());
}

bool MessageReader::Receive(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  pollfd waiting{.fd = this->socket.descriptor(), .events = POLLIN};
  if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    this->is_timed_out = true;
    return false;
  }
  std::array<char, kReceiveBytes> bytes;
  const ssize_t received =
      recv(this->socket.descriptor(), bytes.data(), bytes.size(), 0);
  if (received <= 0) {
    return false;
  }
  this->buffer.append(bytes.data(), static_cast<size_t>(received));
  return true;
}

std::optional<Message> MessageReader::Read(Millis time) {
  const auto until = Clock::now() + time;
  this->is_timed_out = false;
  size_t end = std::string::npos;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Receive(until)) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(std::string_view(this->buffer).substr(0, end));
  const size_t body_begin = end + 4;
  const size_t body_size =
      std::strtoull(message.Find("Content-Length").c_str(), nullptr, 10);
  while (this->buffer.size() < body_begin + body_size) {
    if (!this->Receive(until)) {
      return std::nullopt;
    }
  }
  message.body = this->buffer.substr(body_begin, body_size);
  this->buffer.erase(0, body_begin + body_size);
  return message;
}

std::string FormatRequest(const std::string& method,
                          const std::string& target,
                          const Headers& headers,
                          std::string_view body) {
  return Format(method + " " + target + " HTTP/1.1", headers, body);
}

std::string FormatResponse(int status,
                           const Headers& headers,
                           std::string_view body) {
  return Format("HTTP/1.1 " + std::to_string(status) + " Status", headers,
                body);
}

std::string Answer::Find(std::string_view name) const {
  return FindIn(this->headers, name);
}

Answer Call(uint16_t port,
            const std::string& method,
            const std::string& target,
            const Headers& headers,
            std::string_view body,
            Millis time) {
  const Socket connection = Connect(port);
  if (!connection.IsOpen() ||
      !SendAll(connection, FormatRequest(method, target, headers, body))) {
    return {};
  }
  MessageReader reader(connection);
  auto response = reader.Read(time);
  if (!response.has_value()) {
    return {};
  }
  return {.status = response->Status(),
          .headers = std::move(response->headers),
          .body = std::move(response->body)};
}

}  // namespace review
