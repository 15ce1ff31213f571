#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kingcupstair::review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// A loopback address.
struct Address {
  std::string ip;
  uint16_t port = 0;
};

std::string ToText(const Address& address);

/// Returns a free port at `ip`, below the range of ephemeral ports.
uint16_t FindFreePort(const std::string& ip);

using Header = std::pair<std::string, std::string>;

/// A request or a response of HTTP/1.1.
struct HttpMessage {
  /// Request line or status line.
  std::string start;
  std::vector<Header> headers;
  std::string body;

  /// Returns the value of the first field with this name, or an empty text.
  std::string Find(const std::string& name) const;
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

HttpMessage MakeRequest(const std::string& method,
                        const std::string& target,
                        std::vector<Header> headers,
                        std::string body = "");
HttpMessage MakeResponse(int status,
                         std::vector<Header> headers,
                         std::string body = "");

/// One TCP connection.
class Connection {
 public:
  explicit Connection(int socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /// Returns nothing if the connection can't be opened in time.
  static std::unique_ptr<Connection> Open(const Address& server,
                                          Millis timeout);

  /// Returns the next message, or nothing if the connection ends or the time
  /// is over before it is complete.
  std::optional<HttpMessage> Read(Millis timeout);
  bool Write(const HttpMessage& message);
  /// Resets the connection. May be called from any thread.
  void Reset();

 private:
  bool Fill(Clock::time_point until);

  int socket;
  std::string buffer;
};

/// Sends one request on a new connection. Returns nothing without a complete
/// response.
std::optional<HttpMessage> Exchange(const Address& server,
                                    const HttpMessage& request,
                                    Millis timeout);

/// A server with a thread for each connection.
class HttpServer {
 public:
  /// Returns the response, or nothing to close the connection without one.
  using Handler = std::function<std::optional<HttpMessage>(const HttpMessage&)>;

  HttpServer(Address address, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Starts to listen. Does nothing if the server is open.
  void Open();
  /// Resets all connections and refuses new ones until `Open`. Handlers that
  /// still run end later.
  void Close();
  const Address& address() const { return this->own_address; }

 private:
  struct Session {
    std::shared_ptr<Connection> connection;
    std::thread thread;
  };

  void Accept(int listener);

  Address own_address;
  Handler handler;
  std::mutex mutex;
  std::atomic<bool> open{false};
  std::thread acceptor;
  std::list<Session> sessions;
  /// Sessions whose connections were reset.
  std::list<Session> ended;
};

}  // namespace kingcupstair::review

#endif  // REVIEW_STANDINS_HTTP_H_
