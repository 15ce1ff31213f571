#ifndef COMPONENTS_HTTP_RESPONSE_READER_H_
#define COMPONENTS_HTTP_RESPONSE_READER_H_

#include <functional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/http/body.h"

namespace kingcupstair::http {

/// A complete final response, or the error that ended the read.
struct ReadResult {
  boost::beast::error_code error;
  int status = 0;
  boost::beast::http::fields fields;
  Body body;
  /// The server keeps the connection open after the response.
  bool keep_alive = false;
};

/// Reads responses from one connection. Whatever the server sends, reads end by
/// the deadline, and the memory of all unfinished responses of one server is
/// bounded, see ResponseMemory.
class ResponseReader {
 public:
  struct Options {
    Endpoint server;
    /// The responses have no body, whatever their heads say.
    bool without_body = false;
    Instant deadline;
    /// If not zero, a response that has begun by the deadline may take this
    /// long from then on, while it keeps coming.
    Duration transfer_timeout{};
    /// Counts the response in the memory of messages of callers.
    bool counts_as_message = true;
    /// Called when the first bytes of a response have come; may be empty.
    std::function<void()> on_begin;
  };

  ResponseReader(Options options,
                 boost::beast::tcp_stream& stream,
                 boost::beast::flat_buffer& buffer);

  /// Reads the next final response and skips interim ones (1xx). Suspends the
  /// calling fiber.
  ReadResult ReadNext();

 private:
  ReadResult ReadOne();
  /// Receives more bytes into the buffer.
  boost::beast::error_code Receive();
  /// Moves the deadline of a response that has begun.
  void OnBegin();
  /// Adds to the bytes that belong to no body. Returns an error if they are too
  /// many for `body_bytes` of body.
  boost::beast::error_code CountFraming(size_t bytes, size_t body_bytes);

  Options options;
  boost::beast::tcp_stream& stream;
  boost::beast::flat_buffer& buffer;
  /// Whether bytes of a response have come.
  bool begun = false;
  /// Bytes of all responses read here that are not part of a body.
  size_t framing_bytes = 0;
};

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_RESPONSE_READER_H_
