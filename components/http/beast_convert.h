#ifndef COMPONENTS_HTTP_BEAST_CONVERT_H_
#define COMPONENTS_HTTP_BEAST_CONVERT_H_

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include "components/base/endpoint.h"
#include "components/http/message.h"

namespace kingcupstair::http {

/// Returns the header fields of a received message without the hop-by-hop
/// fields and Content-Length.
Headers FromBeast(const boost::beast::http::fields& fields);

/// Adds `headers` to a message to be sent, except hop-by-hop fields and
/// Content-Length.
void CopyInto(const Headers& headers, boost::beast::http::fields& fields);

/// Converts an endpoint to its Asio type. The address is numeric.
boost::asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_BEAST_CONVERT_H_
