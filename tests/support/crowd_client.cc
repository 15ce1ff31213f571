// A crowd of clients that nobody controls, for the tests with real processes.
// Each client has one connection, sends what the mode says as fast as the
// server takes it, and then stays open until SIGTERM. A line is printed when
// nothing more is sent, and at the end.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kReadBytes = 4096;
constexpr std::chrono::milliseconds kTick{5};
constexpr size_t kMinWriteBytes = 16384;
/// The crowd has sent what the server takes if nothing was sent for this
/// time.
constexpr std::chrono::milliseconds kQuietTime{1500};

volatile std::sig_atomic_t terminated = 0;

struct Plan {
  std::string mode;
  uint16_t port = 0;
  int connections = 0;
  std::string target = "/lote/dispatch/1";
  std::string key = "grower-key";
  /// Bytes of a body, of which the last `short_by` are never sent.
  size_t body_bytes = 0;
  size_t short_by = 1;
  /// Bytes of one write, and of one chunk of a chunked body.
  size_t piece_bytes = 65536;
  /// Length of the response that is asked for.
  size_t response_bytes = 0;
  /// Bytes that a client reads in each tick; 0 to read nothing.
  size_t read_bytes = 0;
  /// Requests of one connection, for the pipelined mode.
  int requests = 1;
  /// Time after which the crowd reports even if it still sends.
  std::chrono::milliseconds length{15000};
};

/// Text that a client sends, made piece by piece so that the crowd itself
/// needs little memory.
class Script {
 public:
  Script(const Plan& plan, int number) : plan(plan) {
    const std::string head =
        " " + plan.target +
        " HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer " + plan.key +
        "\r\nX-Response-Bytes: " + std::to_string(plan.response_bytes) +
        "\r\nX-Order: crowd-" + std::to_string(number) + "\r\n";
    if (plan.mode == "bodies") {
      this->pending = "POST" + head +
                      "Content-Length: " + std::to_string(plan.body_bytes) +
                      "\r\n\r\n";
      this->body_left = plan.body_bytes - plan.short_by;
    } else if (plan.mode == "chunks") {
      this->pending = "POST" + head + "Transfer-Encoding: chunked\r\n\r\n";
      this->body_left = plan.body_bytes;
    } else if (plan.mode == "headers") {
      this->pending = "GET" + head;
      this->body_left = plan.body_bytes;
    } else if (plan.mode == "requests") {
      for (int i = 0; i < plan.requests; ++i) {
        this->pending += "GET" + head + "\r\n";
      }
    }
  }

  /// Returns the bytes to be sent next, or an empty text at the end.
  const std::string& Pending() {
    if (this->pending.empty() && this->body_left > 0) {
      this->pending = this->Piece();
    }
    return this->pending;
  }

  void OnSent(size_t bytes) { this->pending.erase(0, bytes); }

 private:
  std::string Piece() {
    std::string text;
    // Small pieces are sent several at once: the crowd would else be slower
    // than the server.
    while (this->body_left > 0 && text.size() < kMinWriteBytes) {
      const size_t bytes = std::min(this->body_left, this->plan.piece_bytes);
      this->body_left -= bytes;
      if (this->plan.mode == "headers") {
        text += "X-Field: " + std::string(bytes, 'x') + "\r\n";
      } else if (this->plan.mode == "chunks") {
        std::array<char, 20> size{};
        snprintf(size.data(), size.size(), "%zx\r\n", bytes);
        text += size.data() + std::string(bytes, 'x') + "\r\n";
      } else {
        return std::string(bytes, 'x');
      }
    }
    return text;
  }

  const Plan& plan;
  std::string pending;
  size_t body_left = 0;
};

struct Client {
  int connection = -1;
  Script script;
  size_t sent = 0;
  size_t received = 0;
  int status = 0;
  bool closed = false;
};

int Connect(uint16_t port) {
  const int connection =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  // Received bytes wait at the server and not in the client's buffer.
  const int receive_buffer = 4096;
  setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
             sizeof(receive_buffer));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(connection, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    std::cerr << "crowd_client: a connection failed\n";
  }
  return connection;
}

/// Sends and reads what is possible without waiting. Returns whether anything
/// was sent.
bool Step(const Plan& plan, Client& client) {
  bool progress = false;
  while (!client.closed && !client.script.Pending().empty()) {
    const std::string& text = client.script.Pending();
    const ssize_t sent =
        send(client.connection, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      client.closed = sent < 0 && errno != EAGAIN && errno != ENOTCONN;
      break;
    }
    progress = true;
    client.sent += static_cast<size_t>(sent);
    client.script.OnSent(static_cast<size_t>(sent));
  }
  const size_t wanted = std::min(plan.read_bytes, kReadBytes);
  std::array<char, kReadBytes> buffer{};
  if (!client.closed && wanted > 0) {
    const ssize_t got = recv(client.connection, buffer.data(), wanted, 0);
    client.closed = got == 0 || (got < 0 && errno != EAGAIN);
    constexpr ssize_t kStatusEnd = 12;
    if (client.status == 0 && got >= kStatusEnd) {
      client.status = std::atoi(buffer.data() + kStatusEnd - 3);
    }
    client.received += got > 0 ? static_cast<size_t>(got) : 0;
  }
  return progress;
}

/// Prints what the crowd has done so far, as one line.
void Report(const std::vector<Client>& clients) {
  size_t sent = 0;
  size_t received = 0;
  int closed = 0;
  std::map<int, int> statuses;
  for (const Client& client : clients) {
    sent += client.sent;
    received += client.received;
    closed += client.closed ? 1 : 0;
    ++statuses[client.status];
  }
  std::cout << "crowd: connections " << clients.size() << ", closed " << closed
            << ", sent " << sent << ", received " << received << ", statuses";
  for (const auto& [status, count] : statuses) {
    std::cout << " " << status << ":" << count;
  }
  std::cout << std::endl;
}

void Run(const Plan& plan) {
  std::vector<Client> clients;
  for (int i = 0; i < plan.connections; ++i) {
    clients.push_back(
        {.connection = Connect(plan.port), .script = Script(plan, i)});
  }
  const auto end = Clock::now() + plan.length;
  auto quiet_since = Clock::now();
  bool reported = false;
  while (terminated == 0) {
    bool progress = false;
    for (Client& client : clients) {
      progress = Step(plan, client) || progress;
    }
    const auto now = Clock::now();
    quiet_since = progress ? now : quiet_since;
    if (!reported && (now - quiet_since > kQuietTime || now > end)) {
      reported = true;
      Report(clients);
    }
    if (!progress || plan.read_bytes > 0) {
      std::this_thread::sleep_for(kTick);
    }
  }
  Report(clients);
}

}  // namespace

// Arguments are NAME=VALUE.
int main(int argc, char** argv) {
  std::signal(SIGTERM, [](int) { terminated = 1; });
  Plan plan;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const size_t equals = argument.find('=');
    const std::string name = argument.substr(0, equals);
    const std::string value =
        equals == std::string::npos ? "" : argument.substr(equals + 1);
    const auto number = std::strtoul(value.c_str(), nullptr, 10);
    if (name == "mode") {
      plan.mode = value;
    } else if (name == "target") {
      plan.target = value;
    } else if (name == "port") {
      plan.port = static_cast<uint16_t>(number);
    } else if (name == "connections") {
      plan.connections = static_cast<int>(number);
    } else if (name == "body") {
      plan.body_bytes = number;
    } else if (name == "short-by") {
      plan.short_by = number;
    } else if (name == "piece") {
      plan.piece_bytes = number;
    } else if (name == "response") {
      plan.response_bytes = number;
    } else if (name == "read") {
      plan.read_bytes = number;
    } else if (name == "requests") {
      plan.requests = static_cast<int>(number);
    } else if (name == "length-ms") {
      plan.length = std::chrono::milliseconds(number);
    } else {
      std::cerr << "crowd_client: no argument '" << name << "'\n";
      return 2;
    }
  }
  Run(plan);
  return 0;
}
