#include "components/http/request_check.h"

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace kingcupstair::http {
namespace {

using boost::beast::http::field;

constexpr unsigned kHttp11 = 11;

size_t CountOf(const boost::beast::http::fields& fields, field name) {
  return fields.count(name);
}

}  // namespace

// RFC 9112 section 6.1: HTTP implementations disagree on the end of a body that
// has two lengths or a transfer encoding other than plain "chunked". What one
// reads as the body, another reads as the next request (request smuggling).
bool IsUnambiguous(const boost::beast::http::fields& fields, unsigned version) {
  const size_t encodings = CountOf(fields, field::transfer_encoding);
  const size_t lengths = CountOf(fields, field::content_length);
  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
    return false;
  }
  if (encodings == 1) {
    const auto value = fields[field::transfer_encoding];
    if (!absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()),
                                "chunked")) {
      return false;
    }
  }
  const size_t hosts = CountOf(fields, field::host);
  const bool names_host = hosts == 1 || (hosts == 0 && version < kHttp11);
  return names_host && CountOf(fields, field::authorization) <= 1;
}

// RFC 9110 section 9.3.8. The library refuses to send such a request.
bool MayHaveBody(boost::beast::http::verb method) {
  return method != boost::beast::http::verb::trace;
}

}  // namespace kingcupstair::http
