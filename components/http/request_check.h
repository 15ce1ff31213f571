#ifndef COMPONENTS_HTTP_REQUEST_CHECK_H_
#define COMPONENTS_HTTP_REQUEST_CHECK_H_

#include <boost/beast/http/fields.hpp>

namespace kingcupstair::http {

/// Returns true if the header of a request determines the end of the body, the
/// target host and the credential unambiguously. `version` is the HTTP version
/// as Beast has it, e.g. 11 for HTTP/1.1.
bool IsUnambiguous(const boost::beast::http::fields& fields, unsigned version);

/// Returns whether a request with this method may have a body.
bool MayHaveBody(boost::beast::http::verb method);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_REQUEST_CHECK_H_
