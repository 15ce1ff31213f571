#include "components/http/server.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <stdexcept>
#include <string>

#include "components/fibers/worker_pool.h"
#include "tests/support/times.h"

namespace kingcupstair::http {
namespace {

fibers::WorkerPool& Workers() {
  static auto* workers = new fibers::WorkerPool(1);
  return *workers;
}

/// Client that sends unmodified bytes over a TCP connection.
class RawClient {
 public:
  explicit RawClient(const Endpoint& server)
      : connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval timeout{.tv_sec = 2};
    setsockopt(this->connection, SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    CHECK(connect(this->connection, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
  }
  ~RawClient() { close(this->connection); }

  void Send(const std::string& bytes) const {
    send(this->connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Reads until `end` has arrived, the server closes the connection, or
  /// nothing arrives for the receive timeout. Returns the text read.
  std::string ReadUntil(const std::string& end) const {
    std::string text;
    char buffer[4096];
    size_t searched = 0;
    while (text.find(end, searched) == std::string::npos) {
      searched = text.size() - std::min(text.size(), end.size());
      const auto got = recv(this->connection, buffer, sizeof(buffer), 0);
      if (got <= 0) {
        break;
      }
      text.append(buffer, static_cast<size_t>(got));
    }
    return text;
  }

 private:
  int connection;
};

/// More than the socket buffers of server and client hold together.
constexpr size_t kBigBody = 32 * 1024 * 1024;

/// Server that returns the requested path in angle brackets as the body.
/// Requests whose path starts with /slow take 200 ms or until cancelled; /big
/// returns kBigBody bytes.
struct TestServer {
  explicit TestServer(int64_t header_bytes = 1000)
      : address{.address = "127.0.0.1", .port = FreePort()},
        server(Workers(),
               {.listen = this->address,
                .limits =
                    [header_bytes] {
                      return ServerLimits{.header_bytes = header_bytes,
                                          .body_bytes = 100,
                                          .idle_timeout = Millis(300)};
                    }},
               CancellableHandler([this](const Request& request,
                                         const CancellationPtr& caller) {
                 return this->Handle(request, caller);
               })) {
    CHECK(this->server.Start().ok());
  }

  static uint16_t FreePort() {
    static uint16_t next = static_cast<uint16_t>(20'000 + getpid() % 10'000);
    return next++;
  }

  Response Handle(const Request& request, const CancellationPtr& caller) {
    ++this->handled;
    if (request.target.rfind("/slow", 0) == 0) {
      for (int i = 0; i < 20 && !caller->IsCancelled(); ++i) {
        fibers::SleepFor(Millis(10));
      }
      this->cancelled += caller->IsCancelled() ? 1 : 0;
    }
    if (request.target == "/throw") {
      throw std::length_error("a test of exceptions");
    }
    if (request.target == "/big") {
      return {.body = std::string(kBigBody, 'x') + "</big>"};
    }
    return {.body = "<" + request.target + ">"};
  }

  Endpoint address;
  std::atomic<int> handled{0};
  std::atomic<int> cancelled{0};
  Server server;
};

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string Post(const std::string& target) {
  return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
}

TEST_GROUP(HttpServer) {
  /// Never destroyed: its port stays open until the process ends.
  TestServer& server = *new TestServer;
};

TEST(HttpServer, PipelinedResponsesComeInRequestOrder) {
  const RawClient client(this->server.address);
  client.Send(Get("/slow") + Get("/fast"));
  const std::string text = client.ReadUntil("</fast>");
  CHECK(text.find("</slow>") < text.find("</fast>"));
}

// Guards against request smuggling: implementations that disagree on the end of
// a body read the bytes that follow as body or as the next request.
TEST(HttpServer, ABodyWithAnAmbiguousEndIsRejected) {
  const char* headers[] = {
      "Transfer-Encoding: chunked, identity\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
      "Transfer-Encoding: identity\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n",
  };
  for (const char* header : headers) {
    const RawClient client(this->server.address);
    client.Send(std::string("POST /a HTTP/1.1\r\nHost: a\r\n") + header +
                "\r\n0\r\n\r\n" + Get("/smuggled"));
    const std::string text = client.ReadUntil("</smuggled>");
    CHECK(text.rfind("HTTP/1.1 400", 0) == 0);
    CHECK(text.find("smuggled") == std::string::npos);
  }
  LONGS_EQUAL(0, this->server.handled);
}

TEST(HttpServer, ARequestNeedsOneHostAndAtMostOneCredential) {
  for (const char* headers :
       {"", "Host: a\r\nHost: b\r\n",
        "Host: a\r\nAuthorization: Token x\r\nAuthorization: Token y\r\n"}) {
    const RawClient client(this->server.address);
    client.Send(std::string("GET / HTTP/1.1\r\n") + headers + "\r\n");
    CHECK(client.ReadUntil("{}").rfind("HTTP/1.1 400", 0) == 0);
  }
}

TEST(HttpServer, RequestsOverTheLimitsAreRejectedWithTheirStatus) {
  const RawClient large_header(this->server.address);
  large_header.Send(
      "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
  CHECK(large_header.ReadUntil("{}").rfind("HTTP/1.1 431", 0) == 0);
  const RawClient large_body(this->server.address);
  large_body.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" +
                  std::string(200, 'x'));
  CHECK(large_body.ReadUntil("{}").rfind("HTTP/1.1 413", 0) == 0);
}

TEST(HttpServer, ARequestWithoutEndIsRejected) {
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string endless(8 * 1024 * 1024, 'a');
  for (const std::string& begin :
       {head + "X-Field: ", chunked + "5;", chunked + "0\r\nX-Trailer: "}) {
    const RawClient client(this->server.address);
    client.Send(begin + endless);
    STRCMP_CONTAINS("HTTP/1.1 4", client.ReadUntil("\r\n").c_str());
  }
}

TEST(HttpServer, AHandlerIsCancelledWhenItsClientDisconnects) {
  {
    const RawClient client(this->server.address);
    client.Send(Get("/slow"));
    usleep(50'000);
  }
  for (int i = 0; i < 50 && this->server.cancelled == 0; ++i) {
    usleep(10'000);
  }
  LONGS_EQUAL(1, this->server.cancelled);
}

TEST(HttpServer, AHandlerOfAConnectionCloseRequestIsCancelledToo) {
  {
    const RawClient client(this->server.address);
    client.Send("GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    usleep(50'000);
  }
  for (int i = 0; i < 50 && this->server.cancelled == 0; ++i) {
    usleep(10'000);
  }
  LONGS_EQUAL(1, this->server.cancelled);
}

// Nothing was read while a request waited for the ones before it, and so the
// disconnect was noticed only after they had ended.
TEST(HttpServer, ADisconnectIsNoticedWhileARequestWaitsForAnEarlierOne) {
  {
    const RawClient client(this->server.address);
    client.Send(Post("/slow/1") + Post("/slow/2") + Post("/slow/3"));
    usleep(50'000);
  }
  for (int i = 0; i < 50 && this->server.cancelled == 0; ++i) {
    usleep(10'000);
  }
  usleep(200'000);
  LONGS_EQUAL(1, this->server.handled);
  LONGS_EQUAL(1, this->server.cancelled);
}

// A request that arrives while the last response of a connection is being
// written can't be answered any more. It must not be handled, since its client
// sends it again.
TEST(HttpServer, ARequestArrivingDuringTheLastResponseIsNotHandled) {
  const RawClient client(this->server.address);
  this->server.server.BeginShutdown();
  client.Send(Get("/big"));
  usleep(100'000);
  client.Send(Get("/late"));
  usleep(100'000);
  CHECK(client.ReadUntil("</big>").find("Connection: close") !=
        std::string::npos);
  LONGS_EQUAL(1, this->server.handled);
}

// A stopping host took requests behind one that hung, and was killed with their
// responses.
// An exception of a handler ended the process.
TEST(HttpServer, ARequestWhoseHandlerThrowsGetsAnUnknownOutcome) {
  const RawClient client(this->server.address);
  client.Send(Get("/throw"));
  const std::string response = client.ReadUntil("\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 500", response.c_str());
  STRCMP_CONTAINS("Kingcupstair-Outcome: unknown", response.c_str());
  client.Send(Get("/next"));
  STRCMP_CONTAINS("</next>", client.ReadUntil("</next>").c_str());
  LONGS_EQUAL(0, this->server.server.InFlight());
}

// A server refuses it, since no upstream could be sent it: that threw.
TEST(HttpServer, ATraceRequestWithABodyIsRefused) {
  const RawClient client(this->server.address);
  client.Send("TRACE /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab");
  STRCMP_CONTAINS("HTTP/1.1 400", client.ReadUntil("\r\n\r\n").c_str());
  LONGS_EQUAL(0, this->server.handled);
}

// The library holds fields of 65,535 bytes at most, and throws for others.
TEST(HttpServer, AFieldLongerThanTheLibraryHoldsIsRefused) {
  auto& large = *new TestServer(/*header_bytes=*/131'072);
  const std::string text(70'000, 'x');
  for (const std::string& field : {"X-Long: " + text, text + ": v"}) {
    const RawClient client(large.address);
    client.Send("GET /a HTTP/1.1\r\nHost: a\r\n" + field + "\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 431", client.ReadUntil("\r\n\r\n").c_str());
  }
}

TEST(HttpServer, AStoppingServerHandlesNoRequestBehindAnUnansweredOne) {
  const RawClient client(this->server.address);
  client.Send(Get("/slow"));
  usleep(50'000);
  this->server.server.BeginShutdown();
  client.Send(Get("/behind"));
  const std::string text = client.ReadUntil("</behind>");
  STRCMP_CONTAINS("Connection: close", text.c_str());
  STRCMP_CONTAINS("</slow>", text.c_str());
  LONGS_EQUAL(1, this->server.handled);
}

// A leaving host took requests on kept connections until its process ended, and
// the last ones were cut.
TEST(HttpServer, IdleConnectionsAreClosedWhenNoNewOnesAreAccepted) {
  const RawClient idle(this->server.address);
  idle.Send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  idle.ReadUntil("</1>");
  const RawClient busy(this->server.address);
  busy.Send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
  usleep(50'000);
  this->server.server.BeginShutdown();
  this->server.server.StopAccepting();
  usleep(50'000);
  idle.Send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  STRCMP_EQUAL("", idle.ReadUntil("</2>").c_str());
  STRCMP_CONTAINS("</slow>", busy.ReadUntil("</slow>").c_str());
  LONGS_EQUAL(2, this->server.handled);
}

// A connection whose request was being received was closed as idle.
TEST(HttpServer, ARequestBeingReceivedIsHandledWhenNoNewOnesAreAccepted) {
  const RawClient client(this->server.address);
  client.Send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n12");
  usleep(50'000);
  this->server.server.BeginShutdown();
  this->server.server.StopAccepting();
  usleep(50'000);
  client.Send("34");
  STRCMP_CONTAINS("</a>", client.ReadUntil("</a>").c_str());
}

TEST(HttpServer, AnIdleConnectionIsClosedAndItsNextRequestIsNotHandled) {
  const RawClient client(this->server.address);
  client.Send(Get("/a"));
  client.ReadUntil("</a>");
  usleep(600'000);
  client.Send(Get("/b"));
  STRCMP_EQUAL("", client.ReadUntil("</b>").c_str());
  LONGS_EQUAL(1, this->server.handled);
}

}  // namespace
}  // namespace kingcupstair::http
