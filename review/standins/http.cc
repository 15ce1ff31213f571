#include "review/standins/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>
#include <stdexcept>

namespace kingcupstair::review {
namespace {

constexpr Millis kPollInterval{20};
constexpr Millis kServerReadTimeout{120'000};
constexpr int kFirstPort = 12'000;
constexpr int kLastPort = 31'000;
constexpr int kMaxPortTries = 200;
constexpr int kBacklog = 512;
constexpr size_t kReadBytes = size_t{64} * 1024;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int Listen(const Address& address) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = ToSocketAddress(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

Millis TimeLeft(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Millis>(until - Clock::now()) + Millis(1);
  return std::max(left, Millis(0));
}

bool WaitFor(int socket, int16_t events, Millis timeout) {
  pollfd watched{.fd = socket, .events = events};
  return poll(&watched, 1, static_cast<int>(timeout.count())) > 0;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string ToWire(const HttpMessage& message) {
  std::string text = message.start + "\r\n";
  for (const auto& [name, value] : message.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + message.body;
}

/// Takes apart the head of a message, without the empty line at its end.
HttpMessage ParseHead(const std::string& head) {
  HttpMessage message;
  size_t at = 0;
  while (at < head.size()) {
    const size_t end = std::min(head.find("\r\n", at), head.size());
    const std::string line = head.substr(at, end - at);
    at = end + 2;
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const size_t colon = std::min(line.find(':'), line.size());
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  return message;
}

}  // namespace

std::string ToText(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

uint16_t FindFreePort(const std::string& ip) {
  static std::mt19937 random{std::random_device{}()};
  static std::set<std::string> given;
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  for (int i = 0; i < kMaxPortTries; ++i) {
    const auto port = static_cast<uint16_t>(ports(random));
    if (!given.insert(ip + "/" + std::to_string(port)).second) {
      continue;
    }
    const int listener = Listen({.ip = ip, .port = port});
    if (listener >= 0) {
      close(listener);
      return port;
    }
  }
  throw std::runtime_error("no free port at " + ip);
}

std::string HttpMessage::Find(const std::string& name) const {
  const auto found = std::find_if(
      this->headers.begin(), this->headers.end(), [&](const Header& header) {
        return strcasecmp(header.first.c_str(), name.c_str()) == 0;
      });
  return found == this->headers.end() ? "" : found->second;
}

int HttpMessage::Status() const {
  const size_t space = this->start.find(' ');
  return space == std::string::npos
             ? 0
             : static_cast<int>(
                   std::strtol(this->start.c_str() + space, nullptr, 10));
}

std::string HttpMessage::Method() const {
  return this->start.substr(0, this->start.find(' '));
}

std::string HttpMessage::Target() const {
  const size_t first = this->start.find(' ');
  const size_t last = this->start.rfind(' ');
  return first >= last ? "" : this->start.substr(first + 1, last - first - 1);
}

HttpMessage MakeRequest(const std::string& method,
                        const std::string& target,
                        std::vector<Header> headers,
                        std::string body) {
  if (!body.empty() || method == "POST" || method == "PUT") {
    headers.emplace_back("Content-Length", std::to_string(body.size()));
  }
  return {.start = method + " " + target + " HTTP/1.1",
          .headers = std::move(headers),
          .body = std::move(body)};
}

HttpMessage MakeResponse(int status,
                         std::vector<Header> headers,
                         std::string body) {
  headers.emplace_back("Content-Length", std::to_string(body.size()));
  return {.start = "HTTP/1.1 " + std::to_string(status) + " Status",
          .headers = std::move(headers),
          .body = std::move(body)};
}

Connection::Connection(int socket) : socket(socket) {
  SetNoDelay(socket);
}

Connection::~Connection() {
  close(this->socket);
}

std::unique_ptr<Connection> Connection::Open(const Address& server,
                                             Millis timeout) {
  const int opened =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(opened);
  const sockaddr_in at = ToSocketAddress(server);
  if (connect(opened, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) !=
          0 &&
      (errno != EINPROGRESS || !WaitFor(opened, POLLOUT, timeout))) {
    return nullptr;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(opened, SOL_SOCKET, SO_ERROR, &error, &size);
  fcntl(opened, F_SETFL, fcntl(opened, F_GETFL) & ~O_NONBLOCK);
  return error == 0 ? std::move(connection) : nullptr;
}

bool Connection::Fill(Clock::time_point until) {
  if (!WaitFor(this->socket, POLLIN, TimeLeft(until))) {
    return false;
  }
  std::string piece(kReadBytes, '\0');
  const ssize_t received =
      recv(this->socket, piece.data(), piece.size(), MSG_DONTWAIT);
  if (received <= 0) {
    return false;
  }
  this->buffer.append(piece, 0, static_cast<size_t>(received));
  return true;
}

// Messages with a length or without a body; nothing here sends chunks.
std::optional<HttpMessage> Connection::Read(Millis timeout) {
  const auto until = Clock::now() + timeout;
  size_t end = std::string::npos;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  HttpMessage message = ParseHead(this->buffer.substr(0, end));
  this->buffer.erase(0, end + 4);
  const size_t length =
      std::strtoul(message.Find("Content-Length").c_str(), nullptr, 10);
  while (this->buffer.size() < length) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  message.body = this->buffer.substr(0, length);
  this->buffer.erase(0, length);
  return message;
}

bool Connection::Write(const HttpMessage& message) {
  const std::string text = ToWire(message);
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t written = send(this->socket, text.data() + sent,
                                 text.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    sent += static_cast<size_t>(written);
  }
  return true;
}

void Connection::Reset() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  shutdown(this->socket, SHUT_RDWR);
}

std::optional<HttpMessage> Exchange(const Address& server,
                                    const HttpMessage& request,
                                    Millis timeout) {
  const auto until = Clock::now() + timeout;
  const auto connection = Connection::Open(server, timeout);
  if (connection == nullptr || !connection->Write(request)) {
    return std::nullopt;
  }
  return connection->Read(TimeLeft(until));
}

HttpServer::HttpServer(Address address, Handler handler)
    : own_address(std::move(address)), handler(std::move(handler)) {}

HttpServer::~HttpServer() {
  this->Close();
  for (Session& session : this->ended) {
    session.thread.join();
  }
}

void HttpServer::Open() {
  if (this->open) {
    return;
  }
  const int listener = Listen(this->own_address);
  if (listener < 0) {
    throw std::runtime_error("cannot listen at " + ToText(this->own_address));
  }
  this->open = true;
  this->acceptor = std::thread([this, listener] { this->Accept(listener); });
}

void HttpServer::Close() {
  if (!this->open.exchange(false)) {
    return;
  }
  this->acceptor.join();
  const std::lock_guard lock(this->mutex);
  for (Session& session : this->sessions) {
    session.connection->Reset();
  }
  this->ended.splice(this->ended.end(), this->sessions);
}

void HttpServer::Accept(int listener) {
  while (this->open) {
    if (!WaitFor(listener, POLLIN, kPollInterval)) {
      continue;
    }
    const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const auto connection = std::make_shared<Connection>(accepted);
    std::thread serve([this, connection] {
      while (const auto request = connection->Read(kServerReadTimeout)) {
        const auto response = this->handler(*request);
        if (!response.has_value() || !connection->Write(*response)) {
          break;
        }
      }
      connection->Reset();
    });
    const std::lock_guard lock(this->mutex);
    this->sessions.push_back(
        {.connection = connection, .thread = std::move(serve)});
  }
  close(listener);
}

}  // namespace kingcupstair::review
