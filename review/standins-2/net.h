#ifndef REVIEW_STANDINS_2_NET_H_
#define REVIEW_STANDINS_2_NET_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Milliseconds since the case began.
int64_t SinceStart();

/// Sleeps for `time`.
void Pause(Millis time);

/// A socket that is closed with its owner.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd);
  Socket(Socket&& other) noexcept
      : fd(std::exchange(other.fd, -1)), number(other.number) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { this->Close(); }

  bool IsOpen() const { return this->fd >= 0; }
  int descriptor() const { return this->fd; }
  /// Number of the connection, which no other one gets.
  uint64_t serial() const { return this->number; }
  void Close();
  /// Closes the connection with a reset.
  void Reset();

 private:
  int fd = -1;
  uint64_t number = 0;
};

/// Listens on 127.0.0.1. Port 0 takes a free one.
Socket Listen(uint16_t port);
uint16_t PortOf(const Socket& listener);
/// Returns `count` ports that were free just now.
std::vector<uint16_t> FreePorts(size_t count);
/// Connects to 127.0.0.1:`port`.
Socket Connect(uint16_t port);
bool SendAll(const Socket& socket, std::string_view bytes);

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request or a response.
struct Message {
  /// First line of the head, without its end.
  std::string start;
  Headers headers;
  std::string body;

  std::string Find(std::string_view name) const;
  /// Method of a request.
  std::string Method() const;
  /// Target of a request.
  std::string Target() const;
  /// Status of a response.
  int Status() const;
};

/// Reads messages with a Content-Length, or without a body, from a connection.
class MessageReader {
 public:
  explicit MessageReader(const Socket& socket) : socket(socket) {}

  /// Returns nothing if the connection ends or `time` is over first.
  std::optional<Message> Read(Millis time);
  /// Whether the last read failed because the time was over.
  bool timed_out() const { return this->is_timed_out; }

 private:
  bool Receive(Clock::time_point until);

  const Socket& socket;
  std::string buffer;
  bool is_timed_out = false;
};

std::string FormatRequest(const std::string& method,
                          const std::string& target,
                          const Headers& headers,
                          std::string_view body);
std::string FormatResponse(int status,
                           const Headers& headers,
                           std::string_view body);

/// Sends one request over a new connection. Status 0: no complete response.
struct Answer {
  int status = 0;
  Headers headers;
  std::string body;

  std::string Find(std::string_view name) const;
};
Answer Call(uint16_t port,
            const std::string& method,
            const std::string& target,
            const Headers& headers,
            std::string_view body,
            Millis time);

}  // namespace review

#endif  // REVIEW_STANDINS_2_NET_H_
