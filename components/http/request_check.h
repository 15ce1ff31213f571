#ifndef COMPONENTS_HTTP_REQUEST_CHECK_H_
#define COMPONENTS_HTTP_REQUEST_CHECK_H_

#include <boost/beast/http/fields.hpp>

namespace kingcupstair::http {

/// True when the header of a request leaves no doubt about where its body ends
/// and whom it is for.
bool IsUnambiguous(const boost::beast::http::fields& fields, unsigned version);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_REQUEST_CHECK_H_
