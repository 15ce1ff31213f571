// Sends spoiled messages to a server, or answers a server's calls with them,
// for the tests with real processes. The messages come from a seed: a correct
// one in which bytes are replaced, removed, repeated or made very many.
//
//   spoiled_client send ADDRESS:PORT TEMPLATE-FILE SEED COUNT
//   spoiled_client answer ADDRESS:PORT TEMPLATE-FILE SEED
//   spoiled_client endless ADDRESS:PORT TEMPLATE-FILE REPEATED-BYTES
//
// `send` prints the number of responses by status; the others run until
// SIGTERM. `endless` answers each call with the message and then the repeated
// bytes until the caller closes. A template holds one message; \r\n ends its
// lines as in the file.

#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "components/base/endpoint.h"
#include "components/http/beast_convert.h"

namespace {

using boost::asio::ip::tcp;

constexpr int kMaxChanges = 4;
constexpr size_t kMaxSpan = 40;
constexpr size_t kMaxRepeated = 70'000;
constexpr size_t kStatusStart = 9;
constexpr size_t kStatusLength = 3;
constexpr size_t kEndlessWriteBytes = 65'536;
constexpr int kReceiveTimeoutMillis = 100;

class Spoiler {
 public:
  Spoiler(std::string message, uint64_t seed)
      : message(std::move(message)), random(seed) {}

  /// Returns the next spoiled message.
  std::string Next() {
    std::string spoiled = this->message;
    const size_t changes = 1 + this->Below(kMaxChanges);
    for (size_t i = 0; i < changes; ++i) {
      this->Change(spoiled);
    }
    return spoiled;
  }

 private:
  size_t Below(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(this->random);
  }

  char AnyByte() {
    constexpr char kOften[] = {'\xff', '\0', '"', '{', '[', ':', '-', '\n',
                               '\xc3', '9',  '/', '%', '+', 'e', ' ', '\x7f'};
    return this->Below(2) == 0 ? kOften[this->Below(sizeof(kOften))]
                               : static_cast<char>(this->Below(256));
  }

  void Change(std::string& text) {
    const size_t at = this->Below(text.size() + 1);
    const size_t length = std::min(this->Below(kMaxSpan) + 1, text.size() - at);
    switch (this->Below(6)) {
      case 0:
        text.insert(at, 1, this->AnyByte());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.insert(at, this->Below(kMaxRepeated), this->AnyByte());
        break;
      case 4:
        text.resize(at);
        break;
      default:
        text.replace(at, std::min<size_t>(length, 1), 1, this->AnyByte());
    }
    if (text.empty()) {
      text = this->message;
    }
  }

  std::string message;
  std::mt19937_64 random;
};

void SetReceiveTimeout(tcp::socket& socket) {
  const timeval timeout{.tv_usec = kReceiveTimeoutMillis * 1000};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
}

/// Returns the status of the response to `message`, or "none".
std::string StatusOf(const tcp::endpoint& server, const std::string& message) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(server, error);
  if (error) {
    return "refused";
  }
  SetReceiveTimeout(socket);
  boost::asio::write(socket, boost::asio::buffer(message), error);
  char reply[64] = {};
  const auto got = recv(socket.native_handle(), reply, sizeof(reply), 0);
  return got >= static_cast<ssize_t>(kStatusStart + kStatusLength)
             ? std::string(reply + kStatusStart, kStatusLength)
             : "none";
}

int Send(const tcp::endpoint& server, Spoiler spoiler, int count) {
  std::map<std::string, int> statuses;
  for (int i = 0; i < count; ++i) {
    ++statuses[StatusOf(server, spoiler.Next())];
  }
  for (const auto& [status, times] : statuses) {
    std::cout << status << ": " << times << "\n";
  }
  return 0;
}

/// Answers each call over a connection of its own.
int Answer(const tcp::endpoint& listen, Spoiler spoiler) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, listen);
  while (true) {
    tcp::socket socket(io);
    acceptor.accept(socket);
    SetReceiveTimeout(socket);
    char call[4096];
    if (recv(socket.native_handle(), call, sizeof(call), 0) > 0) {
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(spoiler.Next()), ignored);
    }
  }
}

void SendWithoutEnd(tcp::socket socket,
                    const std::string& begin,
                    const std::string& repeated) {
  std::string many;
  while (many.size() < kEndlessWriteBytes) {
    many += repeated;
  }
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(begin), error);
  while (!error) {
    boost::asio::write(socket, boost::asio::buffer(many), error);
  }
}

int AnswerWithoutEnd(const tcp::endpoint& listen,
                     const std::string& begin,
                     const std::string& repeated) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, listen);
  while (true) {
    tcp::socket socket(io);
    acceptor.accept(socket);
    std::thread(SendWithoutEnd, std::move(socket), begin, repeated).detach();
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    std::cerr << "spoiled_client send|answer|endless ADDRESS:PORT FILE "
                 "SEED|BYTES [COUNT]\n";
    return 2;
  }
  const auto endpoint = kingcupstair::ParseEndpoint(argv[2]);
  std::ifstream file(argv[3], std::ios::binary);
  std::string message{std::istreambuf_iterator<char>(file), {}};
  if (!endpoint.ok() || message.empty()) {
    std::cerr << "spoiled_client: no such address or template\n";
    return 2;
  }
  const auto address = kingcupstair::http::ToAsio(*endpoint);
  if (std::string(argv[1]) == "endless") {
    return AnswerWithoutEnd(address, message, argv[4]);
  }
  const uint64_t seed = std::stoull(argv[4]);
  Spoiler spoiler(std::move(message), seed);
  if (std::string(argv[1]) == "answer") {
    return Answer(address, std::move(spoiler));
  }
  return Send(address, std::move(spoiler), argc > 5 ? std::stoi(argv[5]) : 1);
}
