#ifndef COMPONENTS_HTTP_SERVER_CONNECTION_H_
#define COMPONENTS_HTTP_SERVER_CONNECTION_H_

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "components/http/byte_lease.h"
#include "components/http/server_state.h"

namespace kingcupstair::http {

/// One client connection of a server. Its fibers, the reader and one for each
/// request in progress, all run on the same thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerState> server,
                   boost::asio::ip::tcp::socket socket);

  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Returns since when no request is in progress, or nullopt if one is or the
  /// connection is about to end. Callable from any thread.
  std::optional<Instant> IdleSince() const;

  /// Closes the connection unless a request is in progress, on the thread of
  /// the connection. A request that is being received is given up.
  void EndUnlessInProgress();

  /// Closes the connection unless a request is in progress or has arrived, on
  /// the thread of the connection.
  void EndIfIdle();

  /// Reads requests until the connection ends, then cancels those in progress.
  void ReadRequests();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// What the reader does next.
  enum class ReaderStep {
    kReadNext,
    kDiscardInput,  ///< Accept no request, but notice a disconnect.
    kStop,
  };

  struct PendingResponse {
    CancellationPtr cancellation = std::make_shared<Cancellation>();
    Response response;
    unsigned version = 11;
    bool keep_alive = true;
    bool head = false;
    bool ready = false;
  };

  ReaderStep ReadRequest();

  /// Receives a request step by step, each after there is memory for it.
  boost::beast::error_code ReceiveRequest(Parser& parser);

  /// Waits until the request that is received may grow to `bytes`. Returns
  /// false if its memory is needed for others.
  bool WaitForMemory(size_t bytes);
  bool WaitForGrant(const std::function<ByteBudget::Grant()>& ask);

  /// Waits until a request with a body of `body_bytes` may be handled, unless
  /// there are requests before it. Returns false if there is no memory for it.
  bool WaitForRequestMemory(size_t body_bytes);

  ReaderStep HandleReadError(const Parser& parser,
                             const boost::beast::error_code& error);

  /// Returns false if the client disconnects while its request waits.
  bool WaitForPipelineSlot(boost::beast::http::verb method);

  /// Returns how many requests may be in progress, one with `method` included.
  size_t MaxConcurrent(boost::beast::http::verb method) const;

  bool StartRequest(Parser& parser);

  /// Responds to a request that no handler gets.
  void Respond(Response response, bool keep_alive, bool head);

  /// Responds and ends the connection.
  void Reject(Response response);

  /// Refuses the request that is received now for want of memory.
  void RejectForMemory();

  /// Refuses the request that was received for want of memory. The connection
  /// goes on if there are requests before it.
  ReaderStep RefuseForMemory(Parser& parser);

  void WriteReadyResponses();

  bool Write(PendingResponse& pending, bool keep_alive);

  /// Counts the response from now on as one that a client takes.
  ByteLeasePtr ExposeResponse(PendingResponse& pending);

  void StartWriteTimer(Duration time);

  void FinishSending();

  void Abort();

  void DiscardInput();

  void StartIdleTimer(Duration idle_time);

  std::shared_ptr<ServerState> server;
  boost::beast::tcp_stream stream;
  boost::asio::steady_timer idle_timer;
  boost::asio::steady_timer write_timer;
  boost::beast::flat_buffer buffer;
  /// Parser of the request that is received now or was received last.
  std::optional<Parser> parser;
  /// Memory of that request; null if the process has no budget.
  ByteLeasePtr lease;
  bool receiving = false;
  /// The idle timeout passed while the request waited for memory.
  bool idle_expired = false;
  /// The memory of that request is needed for others.
  bool lease_ended = false;
  std::deque<std::shared_ptr<PendingResponse>> queue;
  /// Since when no request is in progress; kNotIdle if one is.
  std::atomic<Instant> idle_since;
  bool writing = false;
  bool last_response_reached = false;
  bool sending_finished = false;
  bool aborted = false;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_SERVER_CONNECTION_H_
