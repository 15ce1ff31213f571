#ifndef COMPONENTS_HTTP_BEAST_CONVERT_H_
#define COMPONENTS_HTTP_BEAST_CONVERT_H_

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include "components/base/endpoint.h"
#include "components/http/message.h"

namespace kingcupstair::http {

/// Header fields of a received message, hop-by-hop ones left out.
Headers FromBeast(const boost::beast::http::fields& fields);

/// Adds `headers` to a message that will be sent, hop-by-hop ones left out.
void CopyInto(const Headers& headers, boost::beast::http::fields& fields);

/// The Asio form of an endpoint.
boost::asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint);

}  // namespace kingcupstair::http

#endif  // COMPONENTS_HTTP_BEAST_CONVERT_H_
