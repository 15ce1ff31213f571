#include "components/rpc/peer_server.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <vector>

#include "tests/support/times.h"

namespace kingcupstair::rpc {
namespace {

constexpr uint16_t kPort = 18'477;
constexpr uint16_t kSlowPort = 18'478;

/// A server of the test and one connection to it whose peer has no fleet key.
class PeerWithoutKey {
 public:
  PeerWithoutKey(uint16_t port, Duration max_entry_time) {
    static std::vector<PeerServer*> servers;
    static auto* loop = new EventLoop;
    servers.push_back(
        new PeerServer(*loop,
                       {.listen = {.address = "127.0.0.1", .port = port},
                        .fleet_key = "a key for this test",
                        .max_entry_time = max_entry_time},
                       {}));
    CHECK(servers.back()->Start().ok());
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK(connect(this->fd, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
    const timeval timeout{.tv_sec = 3};
    for (const int option : {SO_SNDTIMEO, SO_RCVTIMEO}) {
      CHECK(setsockopt(this->fd, SOL_SOCKET, option, &timeout,
                       sizeof(timeout)) == 0);
    }
  }
  ~PeerWithoutKey() { close(this->fd); }
  PeerWithoutKey(const PeerWithoutKey&) = delete;
  PeerWithoutKey& operator=(const PeerWithoutKey&) = delete;

  bool Send(const void* bytes, size_t size) {
    return send(this->fd, bytes, size, MSG_NOSIGNAL) ==
           static_cast<ssize_t>(size);
  }

  /// Returns true if the server closes the connection within 3 s.
  bool IsClosed() {
    char bytes[256];
    ssize_t size = 0;
    do {
      size = recv(this->fd, bytes, sizeof(bytes), 0);
    } while (size > 0);
    return size == 0 || errno == ECONNRESET;
  }

 private:
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
};

TEST_GROUP(PeerServer){};

// Guards against messages that fill the memory of the process before their
// sender has proved anything: such a message of 56 MB was read as far as it
// came.
TEST(PeerServer, APeerWithoutTheFleetKeySendsNoLongMessage) {
  constexpr uint32_t kWords = 7'000'000;
  const std::vector<char> chunk(1'000'000);
  PeerWithoutKey peer(kPort, Millis(60'000));
  const uint32_t segment_table[] = {0, kWords};
  CHECK(peer.Send(segment_table, sizeof(segment_table)));
  int chunks = 0;
  while (chunks < 40 && peer.Send(chunk.data(), chunk.size())) {
    ++chunks;
  }
  // The buffers of both sockets take some of them.
  CHECK(chunks < 20);
  CHECK(peer.IsClosed());
}

// Guards against connections that do nothing and are kept for good.
TEST(PeerServer, APeerThatDoesNotProveTheFleetKeyInTimeIsClosed) {
  PeerWithoutKey peer(kSlowPort, Millis(200));
  CHECK(peer.IsClosed());
}

}  // namespace
}  // namespace kingcupstair::rpc
